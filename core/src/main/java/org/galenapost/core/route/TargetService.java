package org.galenapost.core.route;

import java.util.Objects;
import java.util.Optional;

/**
 * A service behind the gateway.
 *
 * @param name the unique name
 * @param maxConnections the maximum number of connections that one server accepts, over all callers
 * @param engineMemory the engine memory; empty for a plain service
 */
public record TargetService(String name, int maxConnections, Optional<EngineMemory> engineMemory) {

  /** Checks that every part is present. */
  public TargetService {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(engineMemory, "engineMemory");
  }
}
