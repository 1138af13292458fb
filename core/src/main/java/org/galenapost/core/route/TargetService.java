package org.galenapost.core.route;

import java.util.Objects;
import java.util.Optional;

/**
 * A service behind the gateway.
 *
 * @param name the unique name
 * @param maxConnections the connections that one server takes from all callers together
 * @param engineMemory the model memory, empty for a plain service
 */
public record TargetService(String name, int maxConnections, Optional<EngineMemory> engineMemory) {

  /** Checks that every part is present. */
  public TargetService {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(engineMemory, "engineMemory");
  }
}
