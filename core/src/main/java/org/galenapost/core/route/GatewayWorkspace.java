package org.galenapost.core.route;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A workspace and the keys of its callers.
 *
 * @param name the unique name
 * @param keys the keys in force
 * @param priority the priority of its calls, which overrides that of the route; 0 is the highest
 */
public record GatewayWorkspace(String name, List<String> keys, OptionalInt priority) {

  /** Checks that every part is present. */
  public GatewayWorkspace {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(priority, "priority");
    keys = List.copyOf(keys);
  }

  /** Returns a description without the keys, which are secret. */
  @Override
  public String toString() {
    return "GatewayWorkspace[name=" + name + ", keys=" + keys.size() + "]";
  }
}
