package org.galenapost.core.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Tracks whether one server is in use, ejected after failures, or on probation after that. */
final class ServerHealth {

  /** The condition of a server as this daemon has seen it. */
  enum Condition {
    ACTIVE,
    EJECTED,
    PROBING
  }

  private static final int PROBE_SUCCESSES_TO_ACTIVE = 4;
  private static final int MAX_DOUBLINGS = 6;
  private static final double EJECTION_JITTER = 0.5;

  private final RoutingSettings settings;
  private final RandomGenerator random;
  private Condition condition = Condition.ACTIVE;
  private int consecutiveFailures;
  private int ejections;
  private int probeSuccesses;
  private long ejectedUntilNanos;

  ServerHealth(RoutingSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  Condition condition(long nowNanos) {
    if (condition == Condition.EJECTED && nowNanos - ejectedUntilNanos >= 0) {
      condition = Condition.PROBING;
      probeSuccesses = 0;
    }
    return condition;
  }

  /** Returns how many requests a recovering server may hold: one at first, then twice as many. */
  int probeLimit() {
    return 1 << probeSuccesses;
  }

  long ejectedUntilNanos() {
    return ejectedUntilNanos;
  }

  void succeeded(long nowNanos) {
    consecutiveFailures = 0;
    if (condition(nowNanos) == Condition.PROBING && ++probeSuccesses >= PROBE_SUCCESSES_TO_ACTIVE) {
      condition = Condition.ACTIVE;
      ejections = 0;
    }
  }

  /** Counts a failure and returns whether it ejected the server. */
  boolean failed(long nowNanos) {
    consecutiveFailures++;
    Condition before = condition(nowNanos);
    if (before == Condition.EJECTED) {
      return false;
    }
    if (before == Condition.ACTIVE && consecutiveFailures < settings.consecutiveFailures()) {
      return false;
    }
    eject(nowNanos);
    return true;
  }

  private void eject(long nowNanos) {
    condition = Condition.EJECTED;
    ejectedUntilNanos = nowNanos + ejectionTime().toNanos();
    ejections++;
  }

  private Duration ejectionTime() {
    long doubled = settings.ejectionTime().toNanos() << Math.min(ejections, MAX_DOUBLINGS);
    long bounded = Math.min(doubled, settings.maxEjectionTime().toNanos());
    return Duration.ofNanos((long) (bounded * (1 + EJECTION_JITTER * random.nextDouble())));
  }
}
