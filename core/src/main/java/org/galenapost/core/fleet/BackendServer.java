package org.galenapost.core.fleet;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A backend server as described by the configuration and the host list.
 *
 * @param id the unique name of the server
 * @param ip the IP literal on which it listens
 * @param port the TCP port on which it listens
 * @param kind whether the server is a model engine or a plain service
 * @param dataCentre the data centre of the server
 * @param models the models that an engine serves; empty for a service
 * @param service the service name of a plain service; empty for an engine
 * @param state whether the server accepts new work
 * @param checksFencing whether the engine rejects orders with an outdated fencing number
 */
public record BackendServer(
    String id,
    String ip,
    int port,
    ServerKind kind,
    String dataCentre,
    Set<String> models,
    Optional<String> service,
    ServerState state,
    boolean checksFencing) {

  /** Checks that no component is null and makes a defensive copy of the models. */
  public BackendServer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(ip, "ip");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(dataCentre, "dataCentre");
    models = Set.copyOf(models);
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(state, "state");
  }

  /** Returns a copy with another state. */
  public BackendServer withState(ServerState newState) {
    return new BackendServer(
        id, ip, port, kind, dataCentre, models, service, newState, checksFencing);
  }
}
