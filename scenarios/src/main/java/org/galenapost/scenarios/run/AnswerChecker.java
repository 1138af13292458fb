package org.galenapost.scenarios.run;

import java.util.List;
import java.util.Optional;
import org.galenapost.scenarios.client.Answer;
import org.galenapost.scenarios.client.CompletionCall;
import org.galenapost.scenarios.client.ReceivedToken;
import org.galenapost.standins.engine.EngineText;

/** Compares received tokens with the text that the stand-in engine must generate. */
public final class AnswerChecker {

  private static final String MODEL_VERSION = "v1";

  private AnswerChecker() {}

  /**
   * Returns what is wrong with an answer that must be finished.
   *
   * @param maxGapMs the longest gap allowed between two tokens
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
          "expected gaps up to %d ms, found %d".formatted(maxGapMs.get(), answer.longestGapMs()));
    }
    return checkTokens(call, answer);
  }

  /** Returns the first token that is missing, repeated or wrong. */
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
