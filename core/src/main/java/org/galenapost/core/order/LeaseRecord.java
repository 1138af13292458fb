package org.galenapost.core.order;

import java.util.Objects;

/**
 * The lease of a task as it is stored on the platform.
 *
 * @param holder the id of the daemon that holds the lease, empty after release
 * @param fencingNumber the fencing number, incremented with each acquisition
 * @param durationMs how long the lease lasts after it was written, in milliseconds
 * @param placementVersion the version of the placement that the holder applies; a daemon with an
 *     older version cannot acquire the lease afterwards
 */
public record LeaseRecord(
    String holder, long fencingNumber, long durationMs, long placementVersion) {

  /** The holder of a released lease. */
  public static final String NO_HOLDER = "";

  /** Checks that the holder is not null. */
  public LeaseRecord {
    Objects.requireNonNull(holder, "holder");
  }

  boolean isFree() {
    return holder.isEmpty();
  }

  LeaseRecord acquiredBy(String newHolder, long newDurationMs, long newPlacementVersion) {
    return new LeaseRecord(newHolder, fencingNumber + 1, newDurationMs, newPlacementVersion);
  }

  LeaseRecord released() {
    return new LeaseRecord(NO_HOLDER, fencingNumber, durationMs, placementVersion);
  }
}
