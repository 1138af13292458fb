package org.galenapost.core.time;

import java.time.Duration;

/** A clock of elapsed time that never runs backwards and is unrelated to wall-clock time. */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the current reading in nanoseconds since an arbitrary origin. */
  long nanos();

  /** Returns the system's monotonic clock. */
  static MonotonicClock system() {
    return System::nanoTime;
  }

  /**
   * Returns the time elapsed since an earlier reading.
   *
   * @param earlierNanos a reading of this clock, in nanoseconds
   */
  default Duration since(long earlierNanos) {
    return Duration.ofNanos(nanos() - earlierNanos);
  }
}
