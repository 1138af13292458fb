package org.galenapost.scenarios.naive;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.order.HeldLease;
import org.galenapost.core.order.LeaseRecord;
import org.galenapost.core.order.LeaseRefusal;
import org.galenapost.core.order.OrderLeases;

/** Grants every daemon a lease at any time, always with the same fencing number. */
final class UnleasedOrderLeases implements OrderLeases {

  private static final String HOLDER = "anybody";

  @Override
  public CompletionStage<Either<LeaseRefusal, HeldLease>> acquire(
      String task, long placementVersion) {
    LeaseRecord record = new LeaseRecord(HOLDER, 0, 0, placementVersion);
    return CompletableFuture.completedFuture(Either.right(new HeldLease(task, 0, record, 0)));
  }

  @Override
  public boolean mayOrder(HeldLease lease) {
    return true;
  }

  @Override
  public void release(HeldLease lease) {}
}
