package org.galenapost.core.order;

import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.configuration.Placement;

/**
 * The status of one task, as shown to operators.
 *
 * @param task the name of the task
 * @param server the id of the engine
 * @param wanted the wanted placement
 * @param found the last state that the engine reported, if any
 * @param holder the id of the daemon that sent the last order, if any
 * @param fencingNumber the fencing number of that daemon's lease, 0 if no order was sent
 * @param lastResult the result of the last reconciliation
 */
public record OrderStatus(
    String task,
    String server,
    Placement wanted,
    Optional<EngineState> found,
    Optional<String> holder,
    long fencingNumber,
    OrderResult lastResult) {

  /** Checks that no component is null. */
  public OrderStatus {
    Objects.requireNonNull(task, "task");
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(wanted, "wanted");
    Objects.requireNonNull(found, "found");
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(lastResult, "lastResult");
  }
}
