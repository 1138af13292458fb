package org.galenapost.core.platform;

import java.time.Duration;
import java.util.Objects;
import org.galenapost.core.time.MonotonicClock;

/**
 * Rejects calls immediately while the platform is down. After several consecutive failures the
 * circuit opens and permits one probe call per period, until a call succeeds.
 */
public final class PlatformCircuitBreaker {

  private static final int FAILURES_TO_OPEN = 3;
  private static final long PROBE_PERIOD_NANOS = Duration.ofMillis(500).toNanos();

  private final MonotonicClock clock;
  private int consecutiveFailures;
  private long lastProbeNanos;

  /** Creates a closed circuit breaker. */
  public PlatformCircuitBreaker(MonotonicClock clock) {
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /** Returns whether a call is permitted now. A permitted call of an open circuit is a probe. */
  public synchronized boolean tryAcquirePermission() {
    if (!isOpen()) {
      return true;
    }
    long nowNanos = clock.nanos();
    if (nowNanos - lastProbeNanos < PROBE_PERIOD_NANOS) {
      return false;
    }
    lastProbeNanos = nowNanos;
    return true;
  }

  /** Returns whether the circuit is open, that is, the platform is considered down. */
  public synchronized boolean isOpen() {
    return consecutiveFailures >= FAILURES_TO_OPEN;
  }

  /** Records that the platform answered a call. */
  public synchronized void recordSuccess() {
    consecutiveFailures = 0;
  }

  /** Records that a call failed because the platform was unavailable or gave no answer. */
  public synchronized void recordFailure() {
    consecutiveFailures++;
    lastProbeNanos = clock.nanos();
  }
}
