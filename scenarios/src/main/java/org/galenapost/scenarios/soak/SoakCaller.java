package org.galenapost.scenarios.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.standins.gateway.RawHttpClient;
import org.galenapost.standins.gateway.StoreContentWriter;

/**
 * Sends calls to randomly chosen daemons. Each connection is kept alive for a random number of
 * calls, unless the daemon closes it earlier. A stream that is broken off is resumed at another
 * daemon, as soon as one accepts connections.
 */
final class SoakCaller implements Runnable {

  private static final int MAX_CALLS_PER_CONNECTION = 40;
  private static final int MAX_ABANDON_DELAY_MS = 400;
  private static final double ABANDONED_CALL_SHARE = 0.06;
  private static final double FORGED_HEADERS_SHARE = 0.1;

  /** Exceeds the route timeout, so that calls held past the route timeout are detected. */
  private static final Duration READ_TIMEOUT =
      Duration.ofMillis(StoreContentWriter.ROUTE_TIMEOUT_MS + 3_000L);

  private static final long CALL_DEADLINE_MS = 8_000;
  private static final int MAX_RESUME_TRIES = 20;
  private static final Duration RESUME_PAUSE = Duration.ofMillis(200);

  private final String name;
  private final Random random;
  private final List<Integer> ports;
  private final List<String> keys;
  private final Pace pace;
  private final BooleanSupplier mustStop;
  private final Consumer<CallRecord> onCall;
  private final Random resumeRandom;
  private Optional<CallRecord.Resumption> pendingResumption = Optional.empty();
  private int callCount;

  /** What a caller calls and how long it waits between calls. */
  enum Pace {
    /** It makes calls of all kinds with pauses. */
    USUAL(List.of(CallRecord.Kind.values()), 150),
    /** It makes calls other than streams nearly without a pause. */
    BUSY(List.of(CallRecord.Kind.IDEMPOTENT, CallRecord.Kind.ONCE), 5);

    private final List<CallRecord.Kind> kinds;
    private final int maxThinkTimeMs;

    Pace(List<CallRecord.Kind> kinds, int maxThinkTimeMs) {
      this.kinds = kinds;
      this.maxThinkTimeMs = maxThinkTimeMs;
    }
  }

  /**
   * Creates a caller.
   *
   * @param name the prefix of the caller's call ids
   * @param seed the seed of the caller's random choices
   * @param ports the caller port of each daemon, by the daemon's index
   * @param keys the API keys to choose from at random; the first is used more than half of the time
   * @param pace what it calls and how fast
   * @param mustStop returns whether the caller must stop
   * @param onCall is notified of each call before it is sent and again when it has ended
   */
  SoakCaller(
      String name,
      long seed,
      List<Integer> ports,
      List<String> keys,
      Pace pace,
      BooleanSupplier mustStop,
      Consumer<CallRecord> onCall) {
    this.name = name;
    this.random = new Random(seed);
    this.resumeRandom = new Random(seed + 1);
    this.ports = ports;
    this.keys = keys;
    this.pace = pace;
    this.mustStop = mustStop;
    this.onCall = onCall;
  }

  @Override
  public void run() {
    while (!mustStop.getAsBoolean()) {
      resumePendingStream();
      int daemon = random.nextInt(ports.size());
      try (RawHttpClient connection = new RawHttpClient(ports.get(daemon))) {
        makeCalls(connection, daemon);
      } catch (IOException e) {
        pauseForThinkTime();
      }
    }
  }

  private void resumePendingStream() {
    for (int tries = 0; tries < MAX_RESUME_TRIES; tries++) {
      if (pendingResumption.isEmpty() || mustStop.getAsBoolean()) {
        break;
      }
      int daemon = resumeRandom.nextInt(ports.size());
      try (RawHttpClient connection = new RawHttpClient(ports.get(daemon))) {
        resume(connection, daemon, pendingResumption.get());
      } catch (IOException e) {
        ManagedProcess.pause(RESUME_PAUSE);
      }
    }
    pendingResumption = Optional.empty();
  }

  private void resume(RawHttpClient connection, int daemon, CallRecord.Resumption resumption)
      throws IOException {
    String id = name + "-" + callCount++;
    String request =
        StoreContentWriter.request(
            CallRecord.Kind.STREAM.method,
            CallRecord.Kind.STREAM.prefix + id,
            id,
            keys.get(0),
            CALL_DEADLINE_MS,
            "body of " + id,
            StoreContentWriter.STREAM_HEADER,
            "Resumes: " + resumption.stream(),
            "Last-Event-Id: " + resumption.afterEvent());
    CallRecord unsent =
        new CallRecord(
            id,
            CallRecord.Kind.STREAM,
            daemon,
            keys.get(0),
            0,
            0,
            CallRecord.Outcome.SILENT,
            Optional.empty(),
            Optional.of(resumption));
    CallRecord ended = exchange(connection, unsent, request, READ_TIMEOUT, false);
    boolean isWhole = ended.outcome() == CallRecord.Outcome.ANSWERED && ended.isStatus(200);
    pendingResumption = isWhole ? Optional.empty() : ended.nextResumption();
    if (!isWhole) {
      ManagedProcess.pause(RESUME_PAUSE);
    }
  }

  private void makeCalls(RawHttpClient connection, int daemon) throws IOException {
    int callsOnConnection = 1 + random.nextInt(MAX_CALLS_PER_CONNECTION);
    for (int i = 0; i < callsOnConnection && !mustStop.getAsBoolean(); i++) {
      boolean isReusable = call(connection, daemon);
      pauseForThinkTime();
      if (!isReusable) {
        return;
      }
    }
  }

  private void pauseForThinkTime() {
    ManagedProcess.pause(Duration.ofMillis(random.nextInt(pace.maxThinkTimeMs)));
  }

  /** Sends one call and returns whether the connection can be reused. */
  private boolean call(RawHttpClient connection, int daemon) throws IOException {
    CallRecord.Kind kind = pace.kinds.get(random.nextInt(pace.kinds.size()));
    String key = keys.get(Math.max(0, random.nextInt(2 * keys.size()) - keys.size()));
    boolean isAbandoning = random.nextDouble() < ABANDONED_CALL_SHARE;
    String id = name + "-" + callCount++;
    Duration readTimeout =
        isAbandoning ? Duration.ofMillis(1 + random.nextInt(MAX_ABANDON_DELAY_MS)) : READ_TIMEOUT;
    CallRecord unsent =
        new CallRecord(
            id,
            kind,
            daemon,
            key,
            0,
            0,
            CallRecord.Outcome.SILENT,
            Optional.empty(),
            Optional.empty());
    CallRecord ended =
        exchange(connection, unsent, request(kind, id, key), readTimeout, isAbandoning);
    pendingResumption = ended.nextResumption();
    return ended.outcome() == CallRecord.Outcome.ANSWERED
        && !ended.answer().orElseThrow().closesConnection();
  }

  /** Sends a call, waits for its end and records both. */
  private CallRecord exchange(
      RawHttpClient connection,
      CallRecord unsent,
      String request,
      Duration readTimeout,
      boolean isAbandoning)
      throws IOException {
    onCall.accept(unsent.endedNow(0, CallRecord.Outcome.SILENT, Optional.empty()));
    connection.setReadTimeout(readTimeout);
    connection.send(request);
    long sentNanos = System.nanoTime();
    Optional<RawHttpClient.Response> answer = Optional.empty();
    CallRecord.Outcome outcome;
    try {
      answer = Optional.of(connection.readResponse());
      outcome =
          answer.get().isComplete() ? CallRecord.Outcome.ANSWERED : CallRecord.Outcome.BROKEN_OFF;
    } catch (SocketTimeoutException e) {
      outcome = isAbandoning ? CallRecord.Outcome.LEFT : CallRecord.Outcome.SILENT;
    } catch (IOException e) {
      outcome = CallRecord.Outcome.BROKEN_OFF;
    }
    if (outcome != CallRecord.Outcome.ANSWERED) {
      connection.close();
    }
    CallRecord ended = unsent.endedNow(sentNanos, outcome, answer);
    onCall.accept(ended);
    return ended;
  }

  private String request(CallRecord.Kind kind, String id, String key) {
    String body = kind.method.equals("POST") ? "body of " + id : "";
    String target = kind.prefix + id;
    boolean hasForgedHeaders = random.nextDouble() < FORGED_HEADERS_SHARE;
    List<String> forged = hasForgedHeaders ? StoreContentWriter.FORGED_HEADERS : List.of();
    String[] headers =
        kind == CallRecord.Kind.STREAM
            ? append(forged, StoreContentWriter.STREAM_HEADER)
            : forged.toArray(String[]::new);
    return StoreContentWriter.request(
        kind.method, target, id, key, CALL_DEADLINE_MS, body, headers);
  }

  private static String[] append(List<String> headers, String last) {
    String[] all = headers.toArray(new String[headers.size() + 1]);
    all[headers.size()] = last;
    return all;
  }
}
