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
 * Calls one daemon after the other, each over a connection that it keeps for as long as the daemon
 * lets it.
 */
final class SoakCaller implements Runnable {

  private static final int MAX_CALLS_PER_CONNECTION = 40;
  private static final int MAX_THINK_MS = 150;
  private static final int MAX_STAY_OF_LEAVERS_MS = 400;
  private static final double LEAVING_SHARE = 0.06;
  private static final double FORGING_SHARE = 0.1;

  /** Longer than a route's timeout, so that a call that is held past it shows. */
  private static final Duration PATIENCE =
      Duration.ofMillis(StoreContentWriter.ROUTE_TIMEOUT_MS + 3_000L);

  private static final long DEADLINE_MS = 8_000;

  private final String name;
  private final Random random;
  private final List<Integer> ports;
  private final List<String> keys;
  private final BooleanSupplier mustStop;
  private final Consumer<CallRecord> onCall;
  private int calls;

  /**
   * Creates a caller.
   *
   * @param name begins the ids of its calls
   * @param seed decides what it does
   * @param ports where each daemon takes callers
   * @param keys the keys that it uses in turn, the first most of the time
   * @param mustStop whether it is to end
   * @param onCall told of each call before it is sent, and once more when it is over
   */
  SoakCaller(
      String name,
      long seed,
      List<Integer> ports,
      List<String> keys,
      BooleanSupplier mustStop,
      Consumer<CallRecord> onCall) {
    this.name = name;
    this.random = new Random(seed);
    this.ports = ports;
    this.keys = keys;
    this.mustStop = mustStop;
    this.onCall = onCall;
  }

  @Override
  public void run() {
    while (!mustStop.getAsBoolean()) {
      int daemon = random.nextInt(ports.size());
      try (RawHttpClient connection = new RawHttpClient(ports.get(daemon))) {
        useUp(connection, daemon);
      } catch (IOException e) {
        think();
      }
    }
  }

  private void useUp(RawHttpClient connection, int daemon) throws IOException {
    int callsHere = 1 + random.nextInt(MAX_CALLS_PER_CONNECTION);
    for (int i = 0; i < callsHere && !mustStop.getAsBoolean(); i++) {
      if (!call(connection, daemon)) {
        return;
      }
      think();
    }
  }

  private void think() {
    ManagedProcess.pause(Duration.ofMillis(random.nextInt(MAX_THINK_MS)));
  }

  /** Makes one call and returns whether the connection may be used on. */
  private boolean call(RawHttpClient connection, int daemon) throws IOException {
    CallRecord.Kind kind =
        CallRecord.Kind.values()[random.nextInt(CallRecord.Kind.values().length)];
    String key = keys.get(Math.max(0, random.nextInt(2 * keys.size()) - keys.size()));
    boolean isLeaving = random.nextDouble() < LEAVING_SHARE;
    String id = name + "-" + calls++;
    onCall.accept(record(id, kind, daemon, key, 0, CallRecord.Outcome.SILENT, Optional.empty()));
    Duration patience =
        isLeaving ? Duration.ofMillis(1 + random.nextInt(MAX_STAY_OF_LEAVERS_MS)) : PATIENCE;
    connection.setReadTimeout(patience);
    connection.send(request(kind, id, key));
    long sentNanos = System.nanoTime();
    Optional<RawHttpClient.Response> answer = Optional.empty();
    CallRecord.Outcome end;
    try {
      answer = Optional.of(connection.readResponse());
      end = answer.get().isComplete() ? CallRecord.Outcome.ANSWERED : CallRecord.Outcome.BROKEN_OFF;
    } catch (SocketTimeoutException e) {
      end = isLeaving ? CallRecord.Outcome.LEFT : CallRecord.Outcome.SILENT;
    } catch (IOException e) {
      end = CallRecord.Outcome.BROKEN_OFF;
    }
    if (end != CallRecord.Outcome.ANSWERED) {
      connection.close();
    }
    onCall.accept(record(id, kind, daemon, key, sentNanos, end, answer));
    return end == CallRecord.Outcome.ANSWERED && !answer.get().closesConnection();
  }

  private static CallRecord record(
      String id,
      CallRecord.Kind kind,
      int daemon,
      String key,
      long sentNanos,
      CallRecord.Outcome end,
      Optional<RawHttpClient.Response> answer) {
    return new CallRecord(id, kind, daemon, key, sentNanos, System.nanoTime(), end, answer);
  }

  private String request(CallRecord.Kind kind, String id, String key) {
    String body = kind.method.equals("POST") ? "body of " + id : "";
    String target = kind.prefix + id;
    boolean isForging = random.nextDouble() < FORGING_SHARE;
    List<String> forged = isForging ? StoreContentWriter.FORGED_HEADERS : List.of();
    String[] headers =
        kind == CallRecord.Kind.STREAM
            ? append(forged, StoreContentWriter.STREAM_HEADER)
            : forged.toArray(String[]::new);
    return StoreContentWriter.request(kind.method, target, id, key, DEADLINE_MS, body, headers);
  }

  private static String[] append(List<String> headers, String last) {
    String[] all = headers.toArray(new String[headers.size() + 1]);
    all[headers.size()] = last;
    return all;
  }
}
