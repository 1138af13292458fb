package org.galenapost.scenarios.soak;

import java.io.PrintWriter;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records the calls, actions and failures of a soak. Thread-safe. */
final class SoakHistory {

  private final Map<String, CallRecord> calls = new ConcurrentHashMap<>();
  private final List<AllowedKeys> keys = new CopyOnWriteArrayList<>();
  private final Map<String, Long> drainStartNanosByServer = new ConcurrentHashMap<>();
  private final List<Restart> restarts = new CopyOnWriteArrayList<>();
  private final List<String> failures = new CopyOnWriteArrayList<>();
  private final Disturbances disturbances = new Disturbances();
  private final PrintWriter log;

  /**
   * The keys that are allowed from a configuration change on.
   *
   * @param ackNanos the monotonic time, in nanoseconds, when the store acknowledged the change
   * @param allowed the allowed keys
   */
  record AllowedKeys(long ackNanos, Set<String> allowed) {}

  /** A planned restart of a daemon, from SIGTERM until it is ready again. */
  static final class Restart {

    private final int daemon;
    private final long signalNanos;
    private volatile long readyNanos = Long.MAX_VALUE;

    private Restart(int daemon, long signalNanos) {
      this.daemon = daemon;
      this.signalNanos = signalNanos;
    }

    /** Records that the daemon is ready again. */
    void end() {
      readyNanos = System.nanoTime();
    }

    /** Returns whether a call overlaps this restart of its daemon. */
    boolean overlaps(CallRecord call) {
      return daemon == call.daemon()
          && signalNanos <= call.endNanos()
          && call.sentNanos() <= readyNanos;
    }
  }

  /**
   * Creates a history.
   *
   * @param log receives one line for each action on the fleet
   */
  SoakHistory(PrintWriter log) {
    this.log = log;
  }

  /** Logs an action on the fleet, with a timestamp in the format of the daemons' logs. */
  void logAction(String action) {
    log.println("time=" + Instant.now() + " " + action);
  }

  void onCall(CallRecord call) {
    calls.put(call.id(), call);
  }

  void onKeys(Set<String> allowed) {
    keys.add(new AllowedKeys(System.nanoTime(), Set.copyOf(allowed)));
    logAction("keys allowed=" + allowed);
  }

  void onDrain(String serverId) {
    drainStartNanosByServer.put(serverId, System.nanoTime());
    logAction("leaving server=" + serverId);
  }

  Restart onTermination(int daemon) {
    Restart restart = new Restart(daemon, System.nanoTime());
    restarts.add(restart);
    logAction("sigterm daemon=d" + daemon);
    return restart;
  }

  void onFailure(String failure) {
    failures.add(failure);
    logAction("failure what=" + failure);
  }

  Disturbances disturbances() {
    return disturbances;
  }

  List<CallRecord> calls() {
    return List.copyOf(calls.values());
  }

  Optional<CallRecord> call(String id) {
    return Optional.ofNullable(calls.get(id));
  }

  List<AllowedKeys> keys() {
    return List.copyOf(keys);
  }

  /** Returns when the drain of each drained server instance began, by instance id. */
  Map<String, Long> drainStartNanos() {
    return Map.copyOf(drainStartNanosByServer);
  }

  /** Returns whether a call overlaps a planned restart of its daemon. */
  boolean isDaemonRestarting(CallRecord call) {
    return restarts.stream().anyMatch(restart -> restart.overlaps(call));
  }

  List<String> failures() {
    return List.copyOf(failures);
  }
}
