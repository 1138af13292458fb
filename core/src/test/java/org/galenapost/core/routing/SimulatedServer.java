package org.galenapost.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.testing.VirtualTime;

/** Simulates a server with eight slots, a queue and a small prefix cache in virtual time. */
final class SimulatedServer {

  /** The fault of a simulated server. */
  enum Fault {
    NONE,
    SLOW,
    FAILS_FAST,
    REPORTS_NOTHING,
    REPORT_STOPPED
  }

  static final int SLOTS = 8;
  private static final int CACHED_PREFIXES = 20;
  private static final Duration PREFILL = Duration.ofMillis(150);
  private static final Duration PREFILL_CACHED = Duration.ofMillis(20);
  private static final double SLOWDOWN = 5;

  private final VirtualTime time;
  private final BackendServer server;
  private final Fault fault;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final Map<String, Boolean> cache =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > CACHED_PREFIXES;
        }
      };
  private int running;
  private int received;
  private int cacheHits;

  SimulatedServer(VirtualTime time, BackendServer server, Fault fault) {
    this.time = time;
    this.server = server;
    this.fault = fault;
  }

  BackendServer server() {
    return server;
  }

  int received() {
    return received;
  }

  int cacheHits() {
    return cacheHits;
  }

  LoadReport report() {
    return switch (fault) {
      case REPORTS_NOTHING -> new LoadReport(0, 0, 0, 0, time.instant());
      case REPORT_STOPPED -> new LoadReport(0, 0, 0, 0, Instant.EPOCH);
      default -> new LoadReport(running, queue.size(), 0, 0, time.instant());
    };
  }

  /** Queues a request and invokes its callbacks on first answer, end or failure. */
  void send(Job job) {
    received++;
    if (fault == Fault.FAILS_FAST) {
      time.schedule(Duration.ofMillis(1), () -> job.onFailure().run());
      return;
    }
    queue.add(job);
    startNext();
  }

  private void startNext() {
    if (running >= SLOTS || queue.isEmpty()) {
      return;
    }
    running++;
    Job job = queue.poll();
    boolean isHit = cache.put(job.prefix(), true) != null;
    cacheHits += isHit ? 1 : 0;
    double factor = fault == Fault.SLOW ? SLOWDOWN : 1;
    Duration prefill = scale(isHit ? PREFILL_CACHED : PREFILL, factor);
    time.schedule(prefill, job.onFirstAnswer());
    time.schedule(
        prefill.plus(scale(job.decode(), factor)),
        () -> {
          running--;
          job.onEnd().run();
          startNext();
        });
  }

  private static Duration scale(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }

  /**
   * A request in flight on a server.
   *
   * @param prefix the prompt's prefix
   * @param decode the time from the first answer to the end on a healthy server
   * @param onFirstAnswer called with the first token
   * @param onEnd called with the last token
   * @param onFailure called when the server fails the request
   */
  record Job(
      String prefix, Duration decode, Runnable onFirstAnswer, Runnable onEnd, Runnable onFailure) {}
}
