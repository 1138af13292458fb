package org.galenapost.core.order;

import java.util.Objects;
import java.util.Optional;

/**
 * How one look at an engine ended.
 *
 * @param result how it ended
 * @param found what the engine said last, if it answered
 * @param lease the lease that was taken, if one was
 * @param orderCount how many orders were given
 */
public record Reconciliation(
    OrderResult result, Optional<EngineState> found, Optional<LeaseRecord> lease, int orderCount) {

  /** Checks that every part is present. */
  public Reconciliation {
    Objects.requireNonNull(result, "result");
    Objects.requireNonNull(found, "found");
    Objects.requireNonNull(lease, "lease");
  }

  static Reconciliation unreachable() {
    return new Reconciliation(OrderResult.UNREACHABLE, Optional.empty(), Optional.empty(), 0);
  }

  static Reconciliation of(OrderResult result, EngineState found) {
    return new Reconciliation(result, Optional.of(found), Optional.empty(), 0);
  }

  Reconciliation withResult(OrderResult newResult) {
    return new Reconciliation(newResult, found, lease, orderCount);
  }

  Reconciliation withFound(EngineState state) {
    return new Reconciliation(result, Optional.of(state), lease, orderCount);
  }

  Reconciliation withOrderCounted() {
    return new Reconciliation(result, found, lease, orderCount + 1);
  }
}
