package org.galenapost.core.order;

import java.util.Objects;
import java.util.Optional;

/**
 * One change to the state of an engine.
 *
 * @param action the action
 * @param model the name of the model; empty for a role change
 * @param version the version of its weights; empty for a role change
 * @param adapter the adapter to load, if any
 * @param role the new role; empty for other actions
 */
public record OrderStep(
    OrderAction action,
    Optional<String> model,
    Optional<String> version,
    Optional<String> adapter,
    Optional<String> role) {

  /** Checks that no component is null. */
  public OrderStep {
    Objects.requireNonNull(action, "action");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(role, "role");
  }

  static OrderStep load(String model, String version) {
    return of(OrderAction.LOAD_MODEL, model, version, Optional.empty());
  }

  static OrderStep unload(String model, String version) {
    return of(OrderAction.UNLOAD_MODEL, model, version, Optional.empty());
  }

  static OrderStep loadAdapter(String model, String version, String adapter) {
    return of(OrderAction.LOAD_ADAPTER, model, version, Optional.of(adapter));
  }

  static OrderStep changeRole(String role) {
    return new OrderStep(
        OrderAction.CHANGE_ROLE,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.of(role));
  }

  private static OrderStep of(
      OrderAction action, String model, String version, Optional<String> adapter) {
    return new OrderStep(
        action, Optional.of(model), Optional.of(version), adapter, Optional.empty());
  }
}
