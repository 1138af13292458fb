package org.galenapost.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.fleet.BackendServer;

class ServerSubsetProperties {

  private final ServerSubset subset = new ServerSubset(DataCentreDistance.EQUIDISTANT);

  @Property(tries = 30, seed = "17")
  void everyServerIsPickedByThreeDaemonsAndEveryDaemonReachesEveryModel(
      @ForAll @IntRange(min = 3, max = 30) int daemonCount,
      @ForAll @IntRange(min = 1, max = 10) int dataCentres,
      @ForAll @IntRange(min = 49, max = 200) int serverCount) {
    List<DaemonSite> daemons = Fleets.daemons(daemonCount, dataCentres);
    List<BackendServer> servers = Fleets.engines(serverCount, dataCentres, 5);

    Map<String, Set<String>> dataCentresByServer = new HashMap<>();
    Map<String, Integer> daemonsByServer = new HashMap<>();
    for (DaemonSite daemon : daemons) {
      List<BackendServer> own = subset.of(daemon, daemons, servers);
      assertThat(own.stream().flatMap(server -> server.models().stream()).distinct())
          .as("models that %s can reach", daemon)
          .hasSize((int) servers.stream().flatMap(s -> s.models().stream()).distinct().count());
      for (BackendServer server : own) {
        daemonsByServer.merge(server.id(), 1, Integer::sum);
        dataCentresByServer
            .computeIfAbsent(server.id(), id -> new HashSet<>())
            .add(daemon.dataCentre());
      }
    }

    int expectedSpread = Math.min(3, Math.min(daemonCount, dataCentres));
    assertThat(daemonsByServer).hasSize(serverCount);
    assertThat(daemonsByServer.values()).allMatch(count -> count >= 3);
    assertThat(dataCentresByServer.values()).allMatch(places -> places.size() >= expectedSpread);
  }

  @Example
  void subsetStaysSmallAndEvenAtFiveHundredDaemons() {
    List<DaemonSite> daemons = Fleets.daemons(500, 10);
    List<BackendServer> servers = Fleets.engines(1500, 10, 25);

    Map<String, Integer> daemonsByServer = new HashMap<>();
    int largest = 0;
    for (DaemonSite daemon : daemons) {
      List<BackendServer> own = subset.of(daemon, daemons, servers);
      largest = Math.max(largest, own.size());
      own.forEach(server -> daemonsByServer.merge(server.id(), 1, Integer::sum));
    }

    assertThat(largest).as("largest subset").isLessThanOrEqualTo(180);
    assertThat(daemonsByServer).hasSize(1500);
    assertThat(daemonsByServer.values()).allMatch(count -> count >= 3 && count <= 110);
  }

  @Property(tries = 20, seed = "18")
  void removingOneServerAddsAtMostOneServerPerDaemon(@ForAll @IntRange(min = 0, max = 299) int lost) {
    List<DaemonSite> daemons = Fleets.daemons(60, 3);
    List<BackendServer> servers = Fleets.engines(300, 3, 10);
    List<BackendServer> fewer = new ArrayList<>(servers);
    fewer.remove(lost);

    for (DaemonSite daemon : daemons.subList(0, 10)) {
      Set<String> before = ids(subset.of(daemon, daemons, servers));
      Set<String> after = ids(subset.of(daemon, daemons, fewer));
      after.removeAll(before);
      assertThat(after).as("servers new to %s", daemon).hasSizeLessThanOrEqualTo(1);
    }
  }

  @Property(tries = 20, seed = "19")
  void removingOneDaemonReassignsOnlyItsServers(@ForAll @IntRange(min = 1, max = 59) int lost) {
    List<DaemonSite> daemons = Fleets.daemons(60, 3);
    List<BackendServer> servers = Fleets.engines(300, 3, 10);
    List<DaemonSite> fewer = new ArrayList<>(daemons);
    fewer.remove(lost);

    int moves = 0;
    for (DaemonSite daemon : fewer) {
      Set<String> before = ids(subset.of(daemon, daemons, servers));
      Set<String> after = ids(subset.of(daemon, fewer, servers));
      assertThat(after).containsAll(before);
      moves += after.size() - before.size();
    }

    assertThat(moves).as("pairs gained in all").isLessThanOrEqualTo(40);
  }

  private static Set<String> ids(List<BackendServer> servers) {
    return servers.stream().map(BackendServer::id).collect(Collectors.toSet());
  }
}
