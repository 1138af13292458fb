package org.galenapost.core.order;

import java.util.Objects;

/**
 * A lease that this daemon holds.
 *
 * @param task the name of the task
 * @param version the version of the lease object on the platform
 * @param record the content of the lease
 * @param requestedAtNanos when the write was sent, in nanoseconds of the monotonic clock
 */
public record HeldLease(String task, long version, LeaseRecord record, long requestedAtNanos) {

  /** Checks that no component is null. */
  public HeldLease {
    Objects.requireNonNull(task, "task");
    Objects.requireNonNull(record, "record");
  }
}
