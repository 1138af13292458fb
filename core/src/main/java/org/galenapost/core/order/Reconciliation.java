package org.galenapost.core.order;

import java.util.Objects;
import java.util.Optional;

/**
 * The outcome of one reconciliation of an engine.
 *
 * @param result the result
 * @param found the last state that the engine reported, if any
 * @param lease the lease that was acquired, if any
 * @param orderCount the number of orders sent
 */
public record Reconciliation(
    OrderResult result, Optional<EngineState> found, Optional<LeaseRecord> lease, int orderCount) {

  /** Checks that no component is null. */
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
