package org.galenapost.core.order;

import java.time.Duration;
import java.util.Objects;

/**
 * The durations of leases.
 *
 * @param duration how long a lease lasts after it was written
 * @param maxOrderDuration the maximum time until an order is answered or times out
 * @param safetyMargin how long before its expiry the holder stops using the lease
 */
public record LeaseSettings(Duration duration, Duration maxOrderDuration, Duration safetyMargin) {

  /** Checks that a lease is longer than one order and the safety margin. */
  public LeaseSettings {
    Objects.requireNonNull(duration, "duration");
    Objects.requireNonNull(maxOrderDuration, "maxOrderDuration");
    Objects.requireNonNull(safetyMargin, "safetyMargin");
    if (duration.compareTo(maxOrderDuration.plus(safetyMargin)) <= 0) {
      throw new IllegalArgumentException(
          "expected a lease duration longer than the maximum order duration plus the safety margin,"
              + " found "
              + duration);
    }
  }

  /** Returns the default settings. */
  public static LeaseSettings defaults() {
    return new LeaseSettings(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(1));
  }
}
