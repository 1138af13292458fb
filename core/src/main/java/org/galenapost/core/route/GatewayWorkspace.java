package org.galenapost.core.route;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A workspace with the keys of its callers.
 *
 * @param name the unique name
 * @param keys the keys in force
 * @param priority the rank of its calls, in place of the route's; 0 first
 */
public record GatewayWorkspace(String name, List<String> keys, OptionalInt priority) {

  /** Checks that every part is present. */
  public GatewayWorkspace {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(priority, "priority");
    keys = List.copyOf(keys);
  }

  /** Leaves out the keys. */
  @Override
  public String toString() {
    return "GatewayWorkspace[name=" + name + ", keys=" + keys.size() + "]";
  }
}
