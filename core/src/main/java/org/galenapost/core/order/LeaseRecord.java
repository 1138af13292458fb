package org.galenapost.core.order;

import java.util.Objects;

/**
 * The lease of a task as the platform keeps it.
 *
 * @param holder the daemon that holds it, empty once released
 * @param fencingNumber rises with every holder
 * @param durationMs how long it lasts after it was written
 * @param placementVersion the version of the placement that its holder works on; no daemon with an
 *     older one may hold it later
 */
public record LeaseRecord(
    String holder, long fencingNumber, long durationMs, long placementVersion) {

  /** The holder of a released lease. */
  public static final String NO_HOLDER = "";

  /** Checks that the holder is present. */
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
