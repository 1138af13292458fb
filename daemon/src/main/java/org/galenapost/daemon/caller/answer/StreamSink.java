package org.galenapost.daemon.caller.answer;

import org.galenapost.core.explain.Decision;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.generation.GenerationSink;
import org.galenapost.core.json.Json;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.http.ProblemDocument;

/**
 * Sends a generation token by token as server-sent events. A refusal before the first event becomes
 * a problem document, a later one an event of the stream.
 */
final class StreamSink implements GenerationSink {

  private static final String DONE = "[DONE]";
  private static final String ERROR_EVENT = "error";
  private static final String NEW_GENERATION_EVENT = "new-generation";

  private final Exchange exchange;
  private final String model;
  private final EventStream stream;
  private final KeepAlive keepAlive;
  private volatile String generationId;
  private volatile boolean hasBegun;

  StreamSink(
      Exchange exchange,
      String generationId,
      String model,
      EventStream stream,
      KeepAlive keepAlive) {
    this.exchange = exchange;
    this.generationId = generationId;
    this.model = model;
    this.stream = stream;
    this.keepAlive = keepAlive;
  }

  @Override
  public void onResumed(String id) {
    generationId = id;
  }

  @Override
  public void onToken(int offset, String text, String resumeHandle) {
    String chunk = Json.write(CompletionChunk.token(generationId, model, offset, text));
    send(ServerSentEvent.token(resumeHandle, chunk));
    exchange.countToken();
  }

  @Override
  public void onNewGeneration(String id) {
    generationId = id;
    exchange.recordDecision(DecisionKind.NEW_GENERATION, "the repeated run differs; now " + id);
    NewGenerationNotice notice = new NewGenerationNotice(id, NewGenerationNotice.RERUN_DIFFERS);
    send(ServerSentEvent.named(NEW_GENERATION_EVENT, Json.write(notice)));
  }

  @Override
  public void onFinish(String finishReason) {
    String chunk = Json.write(CompletionChunk.finish(generationId, model, finishReason));
    send(ServerSentEvent.data(chunk));
    send(ServerSentEvent.data(DONE));
    exchange.recordDecision(DecisionKind.FINISHED, finishReason);
    exchange.response().endStream();
  }

  @Override
  public void onRefusal(Refusal refusal) {
    if (!hasBegun) {
      exchange.refuse(refusal);
      return;
    }
    exchange.response().recordRefusal(refusal);
    ProblemDocument problem = ProblemDocument.of(refusal, exchange.requestId());
    send(ServerSentEvent.named(ERROR_EVENT, Json.write(problem)));
    exchange.response().endStream();
  }

  @Override
  public void onDecision(Decision decision) {
    exchange.trace().add(decision);
  }

  @Override
  public boolean isWritable() {
    return stream.isWritable();
  }

  private void send(ServerSentEvent event) {
    begin();
    stream.send(event.toText());
    keepAlive.markEventSent();
  }

  private void begin() {
    if (!hasBegun) {
      hasBegun = exchange.response().beginStream(ServerSentEvent.CONTENT_TYPE);
      keepAlive.start();
    }
  }
}
