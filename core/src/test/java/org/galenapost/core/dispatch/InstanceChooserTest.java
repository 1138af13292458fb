package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class InstanceChooserTest {

  private static final TargetService ENGINES =
      new TargetService("pool", 100, Optional.of(new EngineMemory(88_000, true)));
  private static final TargetService PLAIN = new TargetService("app", 100, Optional.empty());
  private static final CallDemand DEMAND = new CallDemand(8_000, 700);

  private final VirtualTime time = new VirtualTime();
  private Predicate<ServerInstance> ownCell = instance -> true;
  private final ServerUseTracker ledger = new ServerUseTracker();
  private final InstanceHealth health = new InstanceHealth(time);
  private final InstanceDirectory directory =
      new InstanceDirectory(
          time, new PlatformReachability(time, is -> {}), Duration.ofSeconds(1), change -> {});
  private final InstanceChooser chooser =
      new InstanceChooser(
          "dc1", directory, server -> ownCell.test(server), ledger, health, () -> 0.5);
  private long revision;

  @Test
  void choosesTheEngineWithTheShortestReadingQueue() {
    ServerInstance busy = add("e1", "pool", "dc1");
    ServerInstance idle = add("e2", "pool", "dc2");
    ledger.reserve(busy.key(), new ServerUse(1, 8_000, 8_700));

    assertThat(choose(ENGINES, DEMAND)).contains(idle);
  }

  @Test
  void avoidsEnginesWhoseMemoryIsFull() {
    ServerInstance full = add("e1", "pool", "dc1");
    ServerInstance free = add("e2", "pool", "dc1");
    ledger.reserve(full.key(), new ServerUse(0, 0, 85_000));
    ledger.reserve(free.key(), new ServerUse(8, 0, 40_000));

    assertThat(choose(ENGINES, DEMAND)).contains(free);
  }

  @Test
  void prefersPlainServersNearbyUntilHalfOfTheirSlotsAreTaken() {
    ServerInstance near = add("a1", "app", "dc1");
    ServerInstance far = add("a2", "app", "dc2");
    ledger.reserve(near.key(), new ServerUse(2, 0, 0));
    assertThat(choose(PLAIN, CallDemand.NONE)).contains(near);

    ledger.reserve(near.key(), new ServerUse(2, 0, 0));
    assertThat(choose(PLAIN, CallDemand.NONE)).contains(far);
  }

  @Test
  void usesLostServersOnlyAsLastResort() {
    ServerInstance lost = add("e1", "pool", "dc1");
    ServerInstance busy = add("e2", "pool", "dc2");
    ledger.reserve(busy.key(), new ServerUse(5, 40_000, 44_000));
    health.recordRefusal(lost.key());

    assertThat(choose(ENGINES, DEMAND)).contains(busy);
    assertThat(chooser.choose(ENGINES, DEMAND, Set.of(busy.key())))
        .map(InstanceChooser.Choice::instance)
        .contains(lost);
  }

  @Test
  void leavesItsCellOnlyForServersThatWaitLess() {
    ServerInstance own = add("e1", "pool", "dc1");
    ServerInstance foreign = add("e2", "pool", "dc1");
    ownCell = own::equals;
    ledger.reserve(own.key(), new ServerUse(1, 8_000, 8_700));
    assertThat(choose(ENGINES, DEMAND)).contains(own);

    ledger.reserve(own.key(), new ServerUse(1, 16_000, 17_400));
    assertThat(choose(ENGINES, DEMAND)).contains(foreign);
  }

  @Test
  void keepsCopiesInAnotherDataCentreThanTheirRun() {
    ServerInstance runner = add("e1", "pool", "dc1");
    add("e2", "pool", "dc1");
    ServerInstance other = add("e3", "pool", "dc2");

    assertThat(chooser.chooseCopyTarget(ENGINES, DEMAND, runner, Set.of())).contains(other);
    ledger.reserve(other.key(), new ServerUse(0, 0, 80_000));
    assertThat(chooser.chooseCopyTarget(ENGINES, DEMAND, runner, Set.of())).isEmpty();
  }

  @Test
  void spreadsWhatOneDaemonFindsOutToAll() {
    FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
    InstanceStatusBroadcaster own = new InstanceStatusBroadcaster(new InstanceHealth(time), directory, network.join("d1"));
    InstanceStatusBroadcaster other = new InstanceStatusBroadcaster(health, directory, network.join("d2"));
    own.start();
    other.start();
    ServerInstance refused = add("e1", "pool", "dc1");
    ServerInstance replaced = add("e2", "pool", "dc1");

    own.onRefused(refused);
    other.onReplaced(replaced);
    time.advance(Duration.ofMillis(2));

    assertThat(health.isAvoided(refused.key())).isTrue();
    assertThat(directory.ready("pool")).containsExactly(refused);
  }

  @Test
  void triesLostServersAgainAfterAPauseThatDoubles() {
    ServerInstance server = add("e1", "pool", "dc1");
    health.recordLoss(server.key());
    time.advance(Duration.ofMillis(301));
    assertThat(health.isAvoided(server.key())).isFalse();

    health.recordLoss(server.key());
    time.advance(Duration.ofMillis(301));
    assertThat(health.isAvoided(server.key())).isTrue();

    health.recordSuccess(server.key());
    assertThat(health.isAvoided(server.key())).isFalse();
  }

  private Optional<ServerInstance> choose(TargetService service, CallDemand demand) {
    return chooser.choose(service, demand, Set.of()).map(InstanceChooser.Choice::instance);
  }

  private ServerInstance add(String id, String service, String dataCentre) {
    ServerInstance instance =
        new ServerInstance(id, 1, service, "10.0.0.1", 80, dataCentre, 6, false);
    directory.applyChange(
        new ConfigurationRecord(
            ConfigurationKind.INSTANCE, id, ++revision, Optional.of(Json.write(instance))));
    return instance;
  }
}
