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
  void peersAreMutualAndTheirNumberDoesNotGrowWithTheFleet(
      @ForAll @IntRange(min = 1, max = 500) int daemons) {
    addServers(DATA_CENTRES);
    for (String id : List.of("d0", "d" + daemons / 2, "d" + (daemons - 1))) {
      FleetCells own = cellsOf(id, daemons);

      assertThat(own.peers()).hasSizeLessThan(2 * FleetCells.DAEMONS_PER_CELL);
      for (String peer : own.peers()) {
        assertThat(cellsOf(peer, daemons).peers()).contains(id);
      }
    }
  }

  @Property(tries = 60)
  void everyServerIsInACellAndEveryCellHasServersOfEachDataCentre(
      @ForAll @IntRange(min = 1, max = 120) int daemons,
      @ForAll @IntRange(min = 3, max = 150) int serverCount) {
    addServers(serverCount);

    Set<ServerInstance> held = new HashSet<>();
    for (int i = 0; i < daemons; i++) {
      FleetCells own = cellsOf("d" + i, daemons);
      List<ServerInstance> ownServers = servers.stream().filter(own::contains).toList();
      held.addAll(ownServers);
      assertThat(ownServers.stream().map(ServerInstance::dataCentre).distinct())
          .hasSize(DATA_CENTRES);
    }
    assertThat(held).hasSameSizeAs(servers);
  }

  @Property(tries = 30)
  void daemonsOfACellHoldTheSameServers(
      @ForAll @IntRange(min = 24, max = 120) int daemons,
      @ForAll @IntRange(min = 3, max = 150) int serverCount) {
    addServers(serverCount);
    FleetCells first = cellsOf("d0", daemons);

    for (String peer : first.peers()) {
      assertThat(servers.stream().filter(cellsOf(peer, daemons)::contains).toList())
          .isEqualTo(servers.stream().filter(first::contains).toList());
    }
  }

  @Property(tries = 20)
  void serversThatReturnToTheirAddressStayInTheirCell(
      @ForAll @IntRange(min = 30, max = 120) int serverCount) {
    addServers(serverCount);
    FleetCells own = cellsOf("d7", 60);
    List<String> addressesBefore = ownAddresses(own);

    List<ServerInstance> returned =
        servers.stream().map(server -> instance("new-" + server.id(), server)).toList();
    returned.forEach(this::accept);
    servers.addAll(returned);

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
          new ServerInstance("i" + i, 1, "pool", ip, 80, "dc" + i % DATA_CENTRES, 6, false);
      servers.add(server);
      accept(server);
    }
  }

  private static ServerInstance instance(String id, ServerInstance like) {
    return new ServerInstance(
        id, 2, like.service(), like.ip(), like.port(), like.dataCentre(), like.slots(), false);
  }

  private void accept(ServerInstance server) {
    directory.applyChange(
        new ConfigurationRecord(
            ConfigurationKind.INSTANCE, server.id(), 1, Optional.of(Json.write(server))));
  }
}
