package org.galenapost.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.testing.VirtualTime;

class FleetCellsProperties {

  private static final int DATA_CENTRES = 3;

  private final VirtualTime time = new VirtualTime();
  private final List<ServerInstance> servers = new ArrayList<>();
  private InstanceDirectory directory;

  @Property(tries = 200)
  void peersAreMutualAndPeerCountIsBoundedForAnyFleetSize(
      @ForAll @IntRange(min = 1, max = 500) int daemons) {
    // GIVEN a fleet of any size
    addServers(DATA_CENTRES);

    // WHEN its first, middle and last daemons compute their cells
    for (String id : List.of("d0", "d" + daemons / 2, "d" + (daemons - 1))) {
      FleetCells own = cellsOf(id, daemons);

      // THEN the number of peers is bounded, and every peer has the daemon as its peer
      assertThat(own.peers()).hasSizeLessThan(2 * FleetCells.DAEMONS_PER_CELL);
      for (String peer : own.peers()) {
        assertThat(cellsOf(peer, daemons).peers()).contains(id);
      }
    }
  }

  /** In a fleet of a cell's size each daemon watched the platform, ten calls for one that tells. */
  @Property(tries = 60)
  void watchesAreSharedFromTheSizeOfACellOn(@ForAll @IntRange(min = 1, max = 60) int daemons) {
    addServers(DATA_CENTRES);
    FleetCells own = cellsOf("d0", daemons);

    assertThat(own.watchPeers())
        .isEqualTo(daemons < FleetCells.DAEMONS_PER_CELL ? Set.of() : own.peers());
  }

  @Property(tries = 60)
  void everyServerIsInACellAndEveryCellHasServersOfEachDataCentre(
      @ForAll @IntRange(min = 1, max = 120) int daemons,
      @ForAll @IntRange(min = 3, max = 150) int serverCount) {
    // GIVEN servers in three data centres
    addServers(serverCount);

    // WHEN every daemon computes its cell
    Set<ServerInstance> coveredServers = new HashSet<>();
    for (int i = 0; i < daemons; i++) {
      FleetCells own = cellsOf("d" + i, daemons);
      List<ServerInstance> ownServers = servers.stream().filter(own::contains).toList();
      coveredServers.addAll(ownServers);

      // THEN each cell has servers of every data centre, and the cells cover all servers
      assertThat(ownServers.stream().map(ServerInstance::dataCentre).distinct())
          .hasSize(DATA_CENTRES);
    }
    assertThat(coveredServers).hasSameSizeAs(servers);
  }

  @Property(tries = 30)
  void daemonsOfOneCellHaveTheSameServers(
      @ForAll @IntRange(min = 24, max = 120) int daemons,
      @ForAll @IntRange(min = 3, max = 150) int serverCount) {
    // GIVEN a daemon of a split fleet
    addServers(serverCount);
    FleetCells first = cellsOf("d0", daemons);

    // WHEN its peers compute their cells
    for (String peer : first.peers()) {
      // THEN they have the same servers
      assertThat(servers.stream().filter(cellsOf(peer, daemons)::contains).toList())
          .isEqualTo(servers.stream().filter(first::contains).toList());
    }
  }

  @Property(tries = 20)
  void restartedServersWithTheSameAddressStayInTheirCell(
      @ForAll @IntRange(min = 30, max = 120) int serverCount) {
    // GIVEN the servers of one cell
    addServers(serverCount);
    FleetCells own = cellsOf("d7", 60);
    List<String> addressesBefore = ownAddresses(own);

    // WHEN all servers restart under new ids at the same addresses
    List<ServerInstance> restarted =
        servers.stream().map(server -> instance("new-" + server.id(), server)).toList();
    restarted.forEach(this::accept);
    servers.addAll(restarted);

    // THEN the cell has the same addresses
    assertThat(ownAddresses(own)).isEqualTo(addressesBefore);
  }

  private List<String> ownAddresses(FleetCells own) {
    return servers.stream()
        .filter(own::contains)
        .map(ServerInstance::address)
        .distinct()
        .sorted()
        .toList();
  }

  private FleetCells cellsOf(String id, int daemons) {
    Set<String> others =
        IntStream.range(0, daemons)
            .mapToObj(i -> "d" + i)
            .filter(other -> !other.equals(id))
            .collect(Collectors.toSet());
    return new FleetCells(id, () -> others, directory, changed -> {});
  }

  private void addServers(int count) {
    servers.clear();
    directory =
        new InstanceDirectory(
            time, new PlatformReachability(time, is -> {}), Duration.ofSeconds(1), change -> {});
    for (int i = 0; i < count; i++) {
      String ip = "10." + i % DATA_CENTRES + ".0." + i;
      ServerInstance server =
          new ServerInstance(
              "i" + i, 1, 0, "pool", ip, 80, "dc" + i % DATA_CENTRES, 6, false, "v1");
      servers.add(server);
      accept(server);
    }
  }

  private static ServerInstance instance(String id, ServerInstance original) {
    return new ServerInstance(
        id,
        2,
        0,
        original.service(),
        original.ip(),
        original.port(),
        original.dataCentre(),
        original.slots(),
        false,
        "v1");
  }

  private void accept(ServerInstance server) {
    directory.applyChange(
        new ConfigurationRecord(
            ConfigurationKind.INSTANCE, server.id(), 1, Optional.of(Json.write(server))));
  }
}
