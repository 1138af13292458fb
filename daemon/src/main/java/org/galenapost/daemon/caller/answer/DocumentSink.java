package org.galenapost.daemon.caller.answer;

import org.galenapost.core.explain.Decision;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.generation.GenerationSink;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.Exchange;

/** Collects a generation and answers with one document at its end. */
final class DocumentSink implements GenerationSink {

  private final Exchange exchange;
  private final String model;
  private final int maxAnswerChars;
  private final StringBuilder text = new StringBuilder();
  private String generationId;

  DocumentSink(Exchange exchange, String generationId, String model, int maxAnswerChars) {
    this.exchange = exchange;
    this.generationId = generationId;
    this.model = model;
    this.maxAnswerChars = maxAnswerChars;
  }

  @Override
  public synchronized void onResumed(String id) {
    generationId = id;
  }

  @Override
  public synchronized void onToken(int offset, String token, String resumeHandle) {
    if (text.length() + token.length() > maxAnswerChars) {
      exchange.refuse(
          Refusal.mayHaveRun(
              RefusalReason.BODY_TOO_LARGE, "The answer is too long for one document; stream it."));
      return;
    }
    text.append(token);
    exchange.countToken();
  }

  @Override
  public synchronized void onNewGeneration(String id) {
    exchange.recordDecision(DecisionKind.NEW_GENERATION, "the repeated run differs; now " + id);
    generationId = id;
    text.setLength(0);
  }

  @Override
  public synchronized void onFinish(String finishReason) {
    exchange.recordDecision(DecisionKind.FINISHED, finishReason);
    exchange
        .response()
        .answerJson(CompletionChunk.fullAnswer(generationId, model, text.toString(), finishReason));
  }

  @Override
  public void onRefusal(Refusal refusal) {
    exchange.refuse(refusal);
  }

  @Override
  public void onDecision(Decision decision) {
    exchange.trace().add(decision);
  }

  @Override
  public boolean isWritable() {
    return true;
  }
}
