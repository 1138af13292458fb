package org.galenapost.core.order;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Acquires and releases the leases of tasks. */
public interface OrderLeases {

  /**
   * Tries to acquire the lease of a task.
   *
   * @param task the name of the task
   * @param placementVersion the version of the placement to apply
   */
  CompletionStage<Either<LeaseRefusal, HeldLease>> acquire(String task, long placementVersion);

  /** Returns whether an order sent now is answered or times out before the lease expires. */
  boolean mayOrder(HeldLease lease);

  /** Releases a lease, so that the next holder need not wait for its expiry. */
  void release(HeldLease lease);
}
