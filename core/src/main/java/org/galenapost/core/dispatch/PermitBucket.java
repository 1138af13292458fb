package org.galenapost.core.dispatch;

import java.time.Duration;
import org.galenapost.core.time.MonotonicClock;

/**
 * Grants permits at a rate. Unused permits are kept for a quarter of a second, so that a burst does
 * not exceed the rate for long. A new bucket is empty, since another daemon may have granted
 * permits just before. Not safe for use by several threads.
 */
final class PermitBucket {

  private static final double KEPT_S = 0.25;
  private static final double NANOS_PER_S = 1e9;

  private final MonotonicClock clock;
  private double permits;
  private long filledNanos;

  PermitBucket(MonotonicClock clock) {
    this.clock = clock;
    this.filledNanos = clock.nanos();
  }

  /**
   * Takes a permit if there is one.
   *
   * @param permitsPerS the rate since the last call, above 0
   * @return zero if a permit was taken, else the time until there is one
   */
  Duration tryTake(double permitsPerS) {
    long nowNanos = clock.nanos();
    double added = (nowNanos - filledNanos) / NANOS_PER_S * permitsPerS;
    permits = Math.min(permits + added, 1 + KEPT_S * permitsPerS);
    filledNanos = nowNanos;
    if (permits >= 1) {
      permits--;
      return Duration.ZERO;
    }
    return Duration.ofNanos((long) Math.ceil((1 - permits) / permitsPerS * NANOS_PER_S));
  }
}
