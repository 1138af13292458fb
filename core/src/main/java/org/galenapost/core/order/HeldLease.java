package org.galenapost.core.order;

import java.util.Objects;

/**
 * A lease that this daemon has written.
 *
 * @param task the task
 * @param version the version of the lease's object
 * @param record the lease
 * @param requestedAtNanos the clock's reading before the write was sent
 */
public record HeldLease(String task, long version, LeaseRecord record, long requestedAtNanos) {

  /** Checks that every part is present. */
  public HeldLease {
    Objects.requireNonNull(task, "task");
    Objects.requireNonNull(record, "record");
  }
}
