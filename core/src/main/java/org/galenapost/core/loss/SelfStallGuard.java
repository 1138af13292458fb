package org.galenapost.core.loss;

import java.time.Duration;
import java.util.Objects;

/**
 * Detects stalls of an event loop from late ticks. Only that loop may call {@link #tick}; the other
 * methods are thread-safe.
 */
public final class SelfStallGuard implements StallGuard {

  /** The default interval between ticks. */
  public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  /** The default delay of a tick beyond which the loop counts as stalled. */
  public static final Duration TOLERANCE = Duration.ofMillis(150);

  private final long maxTickGapNanos;
  private volatile long lastTickNanos;
  private volatile long lastStallEndNanos;
  private volatile long stallCount;

  /**
   * Creates a guard.
   *
   * @param tickInterval the expected interval between ticks
   * @param tolerance the delay of a tick that does not count as a stall
   * @param nowNanos the current monotonic time in nanoseconds
   */
  public SelfStallGuard(Duration tickInterval, Duration tolerance, long nowNanos) {
    Objects.requireNonNull(tickInterval, "tickInterval");
    Objects.requireNonNull(tolerance, "tolerance");
    this.maxTickGapNanos = tickInterval.plus(tolerance).toNanos();
    this.lastTickNanos = nowNanos;
  }

  /** Records a tick of the loop at the given monotonic time in nanoseconds. */
  public void tick(long nowNanos) {
    if (nowNanos - lastTickNanos > maxTickGapNanos) {
      lastStallEndNanos = nowNanos;
      stallCount = stallCount + 1;
    }
    lastTickNanos = nowNanos;
  }

  @Override
  public boolean stalledWithin(long fromNanos, long untilNanos) {
    boolean isStalledNow = untilNanos - lastTickNanos > maxTickGapNanos;
    return isStalledNow || (stallCount > 0 && lastStallEndNanos - fromNanos > 0);
  }

  /** Returns the number of stalls detected. */
  public long stallCount() {
    return stallCount;
  }
}
