package org.galenapost.core.loss;

/** Reports stalls of this process, which make silence measured by its timers unreliable. */
public interface StallGuard {

  /** A guard that never reports a stall. */
  StallGuard NONE = (fromNanos, untilNanos) -> false;

  /**
   * Returns whether this process stalled during a time span.
   *
   * @param fromNanos the start of the span, in nanoseconds of the monotonic clock
   * @param untilNanos the end of the span, which is the current monotonic time in nanoseconds
   */
  boolean stalledWithin(long fromNanos, long untilNanos);
}
