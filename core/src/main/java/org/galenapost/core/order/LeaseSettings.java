package org.galenapost.core.order;

import java.time.Duration;
import java.util.Objects;

/**
 * How leases are held.
 *
 * @param duration how long a lease lasts after it was written
 * @param maxOrderDuration how long one order takes at most until it is answered or given up
 * @param safetyMargin how long before the end the holder stops
 */
public record LeaseSettings(Duration duration, Duration maxOrderDuration, Duration safetyMargin) {

  /** Checks that an order fits into a lease. */
  public LeaseSettings {
    Objects.requireNonNull(duration, "duration");
    Objects.requireNonNull(maxOrderDuration, "longestOrder");
    Objects.requireNonNull(safetyMargin, "margin");
    if (duration.compareTo(maxOrderDuration.plus(safetyMargin)) <= 0) {
      throw new IllegalArgumentException(
          "expected a lease longer than order and margin, found " + duration);
    }
  }

  /** Returns the settings of the daemon. */
  public static LeaseSettings defaults() {
    return new LeaseSettings(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(1));
  }
}
