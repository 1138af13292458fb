package org.galenapost.scenarios.soak;

import java.io.PrintWriter;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Everything that a soak did and saw. Safe for several threads. */
final class SoakHistory {

  private final Map<String, CallRecord> calls = new ConcurrentHashMap<>();
  private final List<AllowedKeys> keys = new CopyOnWriteArrayList<>();
  private final Map<String, Long> leavings = new ConcurrentHashMap<>();
  private final List<Termination> terminations = new CopyOnWriteArrayList<>();
  private final List<String> failures = new CopyOnWriteArrayList<>();
  private final Disturbances disturbances = new Disturbances();
  private final PrintWriter log;

  /** The keys that are allowed from a moment on. */
  record AllowedKeys(long ackNanos, Set<String> allowed) {}

  /** The planned end of a daemon's process. */
  record Termination(int daemon, long signalNanos) {}

  /**
   * Creates a history.
   *
   * @param log takes a line for each thing that is done to the fleet
   */
  SoakHistory(PrintWriter log) {
    this.log = log;
  }

  /** Writes a line of what is done to the fleet, with the time as the daemons write it. */
  void logAction(String what) {
    log.println("time=" + Instant.now() + " " + what);
  }

  void onCall(CallRecord call) {
    calls.put(call.id(), call);
  }

  void onKeys(Set<String> allowed) {
    keys.add(new AllowedKeys(System.nanoTime(), Set.copyOf(allowed)));
    logAction("keys allowed=" + allowed);
  }

  void onDrain(String serverId) {
    leavings.put(serverId, System.nanoTime());
    logAction("leaving server=" + serverId);
  }

  void onTermination(int daemon) {
    terminations.add(new Termination(daemon, System.nanoTime()));
    logAction("sigterm daemon=d" + daemon);
  }

  void onFailure(String what) {
    failures.add(what);
    logAction("failure what=" + what);
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

  Map<String, Long> drainStartNanos() {
    return Map.copyOf(leavings);
  }

  List<Termination> terminations() {
    return List.copyOf(terminations);
  }

  List<String> failures() {
    return List.copyOf(failures);
  }
}
