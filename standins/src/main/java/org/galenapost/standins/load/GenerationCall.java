package org.galenapost.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.galenapost.standins.engine.EngineText;
import org.galenapost.standins.json.Json;

/** One generation, from its intended start to its end, including reconnects. Thread-safe. */
final class GenerationCall implements StreamHandler.Listener {

  private static final int MAX_RECONNECTS = 40;
  private static final long MIN_RECONNECT_DELAY_MS = 50;
  private static final String DONE = "[DONE]";

  private final Arrival arrival;
  private final long intendedNanos;
  private final LoadClient client;
  private final Targets targets;
  private final ScheduledExecutorService scheduler;
  private final ClassResults results;
  private final Latencies latencies;
  private final Runnable onEnded;
  private final AnswerVerifier verifier;
  private Optional<String> lastEventId = Optional.empty();
  private int reconnectsLeft;
  private long firstTokenNanos;
  private long lastTokenNanos;
  private long longestGapNanos;
  private boolean hasToken;
  private boolean isCorrect;
  private boolean hasEnded;

  /**
   * Creates a call.
   *
   * @param intendedNanos the intended start, a {@link System#nanoTime} value
   * @param reconnects whether to resume a broken stream with a new connection
   * @param onEnded runs once after the call ended
   */
  GenerationCall(
      Arrival arrival,
      long intendedNanos,
      CallContext context,
      boolean reconnects,
      ClassResults results,
      Runnable onEnded) {
    this.arrival = arrival;
    this.intendedNanos = intendedNanos;
    this.client = context.client();
    this.targets = context.targets();
    this.scheduler = context.scheduler();
    this.reconnectsLeft = reconnects ? MAX_RECONNECTS : 0;
    this.results = results;
    this.latencies = results.latencies(arrival);
    this.onEnded = onEnded;
    this.verifier = new AnswerVerifier(expected(arrival), arrival.requestClass().maxTokens());
  }

  private static EngineText expected(Arrival arrival) {
    RequestClass requestClass = arrival.requestClass();
    return EngineText.of(
        arrival.prompt(),
        arrival.seed(),
        requestClass.model(),
        requestClass.version(),
        requestClass.adapterName());
  }

  /** Sends the first request. */
  void start() {
    results.recordSent();
    connect();
  }

  private synchronized void connect() {
    if (!hasEnded) {
      client.stream(request(), new StreamHandler(this));
    }
  }

  private Request request() {
    RequestClass requestClass = arrival.requestClass();
    RequestBuilder builder =
        new RequestBuilder("POST")
            .setUrl(targets.url("/v1/completions"))
            .setHeader("Content-Type", "application/json")
            .setHeader("Authorization", "Bearer " + requestClass.workspaceKey())
            .setHeader("Galenapost-Profile", requestClass.profile())
            .setHeader("Idempotency-Key", arrival.key())
            .setBody(Json.write(CallerBody.of(arrival)));
    lastEventId.ifPresent(id -> builder.setHeader("Last-Event-ID", id));
    return builder.build();
  }

  @Override
  public synchronized void onEvent(StreamEvent event) {
    if (hasEnded) {
      return;
    }
    event.id().ifPresent(id -> lastEventId = Optional.of(id));
    switch (event.name()) {
      case "message" -> onMessage(event.data());
      case "new-generation" -> {
        results.recordNewGeneration();
        verifier.restart();
      }
      case "error" -> endWithRefusal(Problem.parse(0, event.data()));
      default -> {
        // events with other names carry no tokens
      }
    }
  }

  private void onMessage(String data) {
    if (data.equals(DONE)) {
      complete();
      return;
    }
    try {
      onChunk(Json.read(data, CallerChunk.class));
    } catch (JsonProcessingException e) {
      endWithRefusal(new Problem("malformed-event", "unknown", 0));
    }
  }

  private void onChunk(CallerChunk chunk) {
    CallerChunk.Choice choice = chunk.choices().get(0);
    if (choice.finishReason() != null) {
      isCorrect = verifier.finish(choice.finishReason());
      return;
    }
    if (verifier.accept(chunk.galenapost().offset(), choice.text())) {
      results.recordDeliveredToken();
    }
    recordTokenLatency(System.nanoTime());
  }

  private void recordTokenLatency(long nowNanos) {
    if (hasToken) {
      long gapNanos = nowNanos - lastTokenNanos;
      latencies.recordTokenGap(gapNanos);
      longestGapNanos = Math.max(longestGapNanos, gapNanos);
    } else {
      hasToken = true;
      firstTokenNanos = nowNanos - intendedNanos;
      latencies.recordFirstToken(firstTokenNanos);
    }
    lastTokenNanos = nowNanos;
  }

  private void complete() {
    if (isCorrect) {
      long latencyNanos = System.nanoTime() - intendedNanos;
      results.recordCompleted(latencyNanos);
      latencies.recordTotal(latencyNanos);
    } else {
      results.recordBroken();
    }
    end();
  }

  @Override
  public synchronized void onRefusal(Problem problem) {
    if (hasEnded) {
      return;
    }
    if (lastEventId.isPresent() && reconnectsLeft > 0) {
      reconnect(Math.max(MIN_RECONNECT_DELAY_MS, problem.retryAfterMs()));
      return;
    }
    endWithRefusal(problem);
  }

  private void endWithRefusal(Problem problem) {
    results.recordRefused(problem);
    end();
  }

  @Override
  public synchronized void onEnd() {
    if (hasEnded) {
      return;
    }
    if (reconnectsLeft > 0) {
      results.recordReconnect();
      reconnect(MIN_RECONNECT_DELAY_MS);
      return;
    }
    results.recordBroken();
    end();
  }

  private void reconnect(long delayMs) {
    reconnectsLeft--;
    scheduler.schedule(this::connect, delayMs, TimeUnit.MILLISECONDS);
  }

  private void end() {
    hasEnded = true;
    results.recordVerification(verifier);
    if (hasToken) {
      latencies.recordStreamEnd(arrival.atNanos(), firstTokenNanos, longestGapNanos);
    }
    onEnded.run();
  }
}
