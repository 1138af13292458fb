package org.galenapost.core.loss;

import java.time.Duration;
import java.util.Objects;

/**
 * Notices stalls of the loop on which it is ticked, from ticks that come late. Ticked by that loop
 * only; may be asked by any thread.
 */
public final class SelfStallGuard implements StallGuard {

  /** The usual time between ticks. */
  public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  /** The usual delay of a tick beyond which the loop counts as stalled. */
  public static final Duration TOLERANCE = Duration.ofMillis(150);

  private final long lateNanos;
  private volatile long lastTickNanos;
  private volatile long lastStallEndNanos;
  private volatile long stalls;

  /**
   * Creates a guard.
   *
   * @param tickInterval the time between ticks
   * @param tolerance how late a tick may come
   * @param nowNanos the current reading of the monotonic clock
   */
  public SelfStallGuard(Duration tickInterval, Duration tolerance, long nowNanos) {
    Objects.requireNonNull(tickInterval, "tickInterval");
    Objects.requireNonNull(tolerance, "tolerance");
    this.lateNanos = tickInterval.plus(tolerance).toNanos();
    this.lastTickNanos = nowNanos;
  }

  /** Records that the loop runs. */
  public void tick(long nowNanos) {
    if (nowNanos - lastTickNanos > lateNanos) {
      lastStallEndNanos = nowNanos;
      stalls = stalls + 1;
    }
    lastTickNanos = nowNanos;
  }

  @Override
  public boolean stalledWithin(long fromNanos, long untilNanos) {
    boolean isStalledNow = untilNanos - lastTickNanos > lateNanos;
    return isStalledNow || (stalls > 0 && lastStallEndNanos - fromNanos > 0);
  }

  /** Returns how many stalls were seen. */
  public long stallCount() {
    return stalls;
  }
}
