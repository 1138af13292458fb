package org.galenapost.scenarios.run;

import java.util.List;
import java.util.Optional;
import org.galenapost.scenarios.client.Answer;
import org.galenapost.scenarios.client.CompletionCall;
import org.galenapost.scenarios.client.ReceivedToken;
import org.galenapost.standins.engine.EngineText;

/** Compares received tokens with the deterministic text of the stand-in engine. */
public final class AnswerChecker {

  private static final String MODEL_VERSION = "v1";

  private AnswerChecker() {}

  /**
   * Checks that an answer is complete, correct and free of long gaps.
   *
   * @param call the completion request
   * @param answer the answer received so far
   * @param maxGapMs the longest gap allowed between two tokens, in milliseconds
   * @return a description of the first fault, or an empty value
   */
  public static Optional<String> checkWholeAnswer(
      CompletionCall call, Answer answer, Optional<Long> maxGapMs) {
    if (!answer.isFinished()) {
      return Optional.of("expected a finished answer, found " + answer.describe());
    }
    if (answer.tokens().size() != call.maxTokens()) {
      return Optional.of(
          "expected %d tokens, found %s".formatted(call.maxTokens(), answer.describe()));
    }
    if (maxGapMs.isPresent() && answer.longestGapMs() > maxGapMs.get()) {
      return Optional.of(
          "expected gaps of at most %d ms between tokens, found %d ms"
              .formatted(maxGapMs.get(), answer.longestGapMs()));
    }
    return checkTokens(call, answer);
  }

  /**
   * Checks that the tokens received so far have the expected offsets and texts.
   *
   * @param call the completion request
   * @param answer the answer received so far
   * @return a description of the first missing, repeated or wrong token, or an empty value
   */
  public static Optional<String> checkTokens(CompletionCall call, Answer answer) {
    List<ReceivedToken> received = answer.tokens();
    List<String> expected = expectedTokens(call, received.size());
    for (int i = 0; i < received.size(); i++) {
      ReceivedToken token = received.get(i);
      if (token.offset() != i || !token.text().equals(expected.get(i))) {
        return Optional.of(
            "%s: expected token %d '%s', found token %d '%s'"
                .formatted(answer.requestName(), i, expected.get(i), token.offset(), token.text()));
      }
    }
    return Optional.empty();
  }

  private static List<String> expectedTokens(CompletionCall call, int count) {
    return EngineText.of(call.prompt(), call.seed(), call.model(), MODEL_VERSION, Optional.empty())
        .tokens(count);
  }
}
