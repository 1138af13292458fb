package org.galenapost.core.routing;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;

/** Knows which servers can serve a model, a version and an adapter, or a plain service. */
public final class Placements {

  private final Map<String, List<LoadedModel>> loadedByServerId = new ConcurrentHashMap<>();

  /** Takes in what an engine says it has loaded. */
  public void onState(String serverId, List<LoadedModel> loaded) {
    loadedByServerId.put(serverId, List.copyOf(loaded));
  }

  /** Drops what is known of a server. */
  public void remove(String serverId) {
    loadedByServerId.remove(serverId);
  }

  /** Returns whether the configuration gives the target to the server. */
  static boolean isAssigned(BackendServer server, String target, boolean isService) {
    return isService
        ? server.service().map(target::equals).orElse(false)
        : server.kind() == ServerKind.ENGINE && server.models().contains(target);
  }

  /**
   * Returns whether the server can serve the request. An engine whose state is unknown is taken at
   * its configuration's word.
   */
  boolean canServe(BackendServer server, RouteRequest request) {
    if (!isAssigned(server, request.target(), request.isService())) {
      return false;
    }
    List<LoadedModel> loaded = loadedByServerId.get(server.id());
    return request.isService()
        || loaded == null
        || loaded.stream().anyMatch(model -> model.serves(request));
  }
}
