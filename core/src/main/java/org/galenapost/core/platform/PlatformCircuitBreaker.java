package org.galenapost.core.platform;

import java.time.Duration;
import java.util.Objects;
import org.galenapost.core.time.MonotonicClock;

/**
 * Refuses calls at once while the platform is down. After a few failures in a row it lets one call
 * through per period, until a call succeeds.
 */
public final class PlatformCircuitBreaker {

  private static final int FAILURES_TO_OPEN = 3;
  private static final long PROBE_PERIOD_NANOS = Duration.ofMillis(500).toNanos();

  private final MonotonicClock clock;
  private int failuresInRow;
  private long lastProbeNanos;

  /** Creates a circuit that lets calls through. */
  public PlatformCircuitBreaker(MonotonicClock clock) {
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /** Returns whether a call may be made now. */
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

  /** Returns whether the platform is held to be down. */
  public synchronized boolean isOpen() {
    return failuresInRow >= FAILURES_TO_OPEN;
  }

  /** Records that the platform answered. */
  public synchronized void recordSuccess() {
    failuresInRow = 0;
  }

  /** Records that the platform refused a call for an outage, or gave no answer. */
  public synchronized void recordFailure() {
    failuresInRow++;
    lastProbeNanos = clock.nanos();
  }
}
