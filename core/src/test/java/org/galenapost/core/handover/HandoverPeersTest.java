package org.galenapost.core.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.ServerUse;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/** Daemons that choose others for the calls that they can't send to servers. */
class HandoverPeersTest {

  private static final Duration LATENCY = Duration.ofMillis(2);

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, LATENCY);
  private final Map<String, Daemon> daemons = new HashMap<>();

  @Test
  void spreadsCallsOverTheDaemonsThatReachTheService() {
    start("d0 dc1", "d1 dc1", "d2 dc2", "d3 dc3");
    setUnreached("d1", "pool");

    Map<String, Integer> chosen = new HashMap<>();
    for (int i = 0; i < 30; i++) {
      ServerInstance daemon = choose("d0", "pool").get();
      daemons.get("d0").useTracker.reserve(daemon.key(), new ServerUse(1, 0, 0));
      chosen.merge(daemon.id(), 1, Integer::sum);
    }

    assertThat(chosen).containsOnlyKeys("daemon:d2", "daemon:d3");
    assertThat(chosen.values()).allMatch(count -> count >= 12);
  }

  @Test
  void prefersItsOwnDataCentreWhileThatHasNoMoreCalls() {
    start("d0 dc1", "d1 dc2", "d2 dc1", "d3 dc3");

    assertThat(choose("d0", "pool")).map(ServerInstance::id).contains("daemon:d2");
  }

  @Test
  void choosesNoDaemonThatDrainsOrLosesTheServiceAsWell() {
    start("d0 dc1", "d1 dc1", "d2 dc1");
    setUnreached("d1", "pool");
    daemons.get("d2").isAccepting = false;
    daemons.get("d2").peers.announce();
    time.advance(LATENCY);

    assertThat(choose("d0", "pool")).isEmpty();
    assertThat(choose("d0", "app")).map(ServerInstance::id).contains("daemon:d1");
  }

  @Test
  void tellsOthersWithinASecondThatItDrains() {
    start("d0 dc1", "d1 dc1");
    assertThat(choose("d0", "pool")).isPresent();

    daemons.get("d1").isAccepting = false;
    time.advance(Duration.ofSeconds(1).plus(LATENCY));

    assertThat(choose("d0", "pool")).isEmpty();
  }

  @Test
  void tellsDaemonThatJoinsWithinSeconds() {
    start("d0 dc1", "d1 dc1");
    time.advance(Duration.ofMillis(500));

    Daemon joined = new Daemon("joined", "dc1");
    time.advance(Duration.ofSeconds(1).plus(LATENCY));

    assertThat(joined.peers.choose("pool", Set.of())).isPresent();
  }

  @Test
  void forgetsDaemonsThatAreSilent() {
    start("d0 dc1", "d1 dc1");
    network.cut("d1", "d0");

    time.advance(Duration.ofSeconds(13));

    assertThat(choose("d0", "pool")).isEmpty();
  }

  @Test
  void letsOthersCheckTheServiceThatOneDaemonDoesNotReach() {
    start("d0 dc1", "d1 dc1");

    setUnreached("d1", "pool");
    daemons.get("d1").peers.announce();
    time.advance(LATENCY);

    assertThat(daemons.get("d0").unreachedElsewhere).containsExactly(Set.of("pool"));
  }

  private void start(String... idsAndDataCentres) {
    for (String daemon : idsAndDataCentres) {
      String[] parts = daemon.split(" ");
      daemons.put(parts[0], new Daemon(parts[0], parts[1]));
    }
    daemons.values().forEach(daemon -> daemon.peers.announce());
    time.advance(LATENCY);
  }

  private void setUnreached(String daemon, String service) {
    daemons.get(daemon).unreached = Set.of(service);
    daemons.get(daemon).peers.announce();
    time.advance(LATENCY);
  }

  private Optional<ServerInstance> choose(String daemon, String service) {
    return daemons.get(daemon).peers.choose(service, Set.of());
  }

  private final class Daemon {
    private final ServerUseTracker useTracker = new ServerUseTracker();
    private final List<Set<String>> unreachedElsewhere = new ArrayList<>();
    private final HandoverPeers peers;
    private Set<String> unreached = Set.of();
    private boolean isAccepting = true;

    Daemon(String id, String dataCentre) {
      peers =
          new HandoverPeers(
              dataCentre,
              network.join(id),
              time,
              time,
              () -> 0.5,
              useTracker,
              new InstanceHealth(time, Duration.ofSeconds(4)),
              () -> new HandoverStatus("10.0.0.1", 80, dataCentre, unreached, isAccepting),
              (daemonId, services) -> unreachedElsewhere.add(services));
      peers.start();
    }
  }
}
