package org.galenapost.scenarios.naive;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.order.HeldLease;
import org.galenapost.core.order.LeaseRecord;
import org.galenapost.core.order.LeaseRefusal;
import org.galenapost.core.order.OrderLeases;

/** Lets every daemon order at any time, under one and the same fencing number. */
final class UnleasedOrderLeases implements OrderLeases {

  private static final String ANYBODY = "anybody";

  @Override
  public CompletionStage<Either<LeaseRefusal, HeldLease>> acquire(
      String task, long placementVersion) {
    LeaseRecord record = new LeaseRecord(ANYBODY, 0, 0, placementVersion);
    return CompletableFuture.completedFuture(Either.right(new HeldLease(task, 0, record, 0)));
  }

  @Override
  public boolean mayOrder(HeldLease lease) {
    return true;
  }

  @Override
  public void release(HeldLease lease) {}
}
