package org.galenapost.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.hashing.Rendezvous;

/**
 * Computes the subset of servers that one daemon uses, so that control traffic does not grow with
 * the fleet. Every server picks a few daemons, spread over data centres. Every daemon picks a few
 * servers per target, mostly in its own data centre. A daemon uses a server if either picked the
 * other. Both picks use rendezvous hashing, so adding or removing a daemon or server changes only
 * its own pairs.
 */
public final class ServerSubset {

  private static final int SMALL_FLEET_SERVERS = 48;
  private static final int DAEMONS_PER_SERVER = 3;
  private static final int LOCAL_SERVERS_PER_TARGET = 4;
  private static final int REMOTE_SERVERS_PER_TARGET = 2;

  private final DataCentreDistance distance;

  /** Creates the computation with the distances between data centres. */
  public ServerSubset(DataCentreDistance distance) {
    this.distance = distance;
  }

  /**
   * Returns the servers for a daemon; a small fleet is returned whole.
   *
   * @param self the daemon
   * @param daemons all daemons believed alive; the daemon itself may be missing
   * @param servers the whole fleet
   */
  public List<BackendServer> of(
      DaemonSite self, Collection<DaemonSite> daemons, Collection<BackendServer> servers) {
    if (servers.size() <= SMALL_FLEET_SERVERS) {
      return List.copyOf(servers);
    }
    Set<DaemonSite> all = new HashSet<>(daemons);
    all.add(self);
    DaemonIndex index = new DaemonIndex(all, DAEMONS_PER_SERVER);
    int selfIndex = index.indexOf(self);
    Set<String> picked = pickedByDaemon(self, servers);
    return servers.stream()
        .filter(
            server ->
                picked.contains(server.id())
                    || index.isPicked(selfIndex, Rendezvous.hash(server.id())))
        .toList();
  }

  private Set<String> pickedByDaemon(DaemonSite self, Collection<BackendServer> servers) {
    Map<String, List<BackendServer>> byTarget = new TreeMap<>();
    for (BackendServer server : servers) {
      targets(server)
          .forEach(target -> byTarget.computeIfAbsent(target, t -> new ArrayList<>()).add(server));
    }
    return byTarget.values().stream()
        .flatMap(pool -> pick(self, liveIfAny(pool)))
        .map(BackendServer::id)
        .collect(Collectors.toSet());
  }

  private static Stream<String> targets(BackendServer server) {
    return Stream.concat(server.models().stream(), server.service().stream());
  }

  private static List<BackendServer> liveIfAny(List<BackendServer> pool) {
    List<BackendServer> live =
        pool.stream().filter(server -> server.state() == ServerState.LIVE).toList();
    return live.isEmpty() ? pool : live;
  }

  private Stream<BackendServer> pick(DaemonSite self, List<BackendServer> pool) {
    List<BackendServer> ranked = Rendezvous.rank(self.daemonId(), pool, BackendServer::id);
    List<BackendServer> local =
        ranked.stream()
            .filter(server -> server.dataCentre().equals(self.dataCentre()))
            .limit(LOCAL_SERVERS_PER_TARGET)
            .toList();
    int remoteCount = REMOTE_SERVERS_PER_TARGET + LOCAL_SERVERS_PER_TARGET - local.size();
    Stream<BackendServer> remote =
        ranked.stream()
            .filter(server -> !server.dataCentre().equals(self.dataCentre()))
            .sorted(Comparator.comparingDouble(server -> distanceTo(self, server)))
            .limit(remoteCount);
    return Stream.concat(local.stream(), remote);
  }

  private double distanceTo(DaemonSite self, BackendServer server) {
    return distance.roundTripMillis(self.dataCentre(), server.dataCentre());
  }
}
