package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.galenapost.core.time.RandomSource;
import org.junit.jupiter.api.Test;

class InstanceChooserTest {

  private static final TargetService ENGINES =
      new TargetService("pool", 100, Optional.of(new EngineMemory(88_000, true)));
  private static final TargetService PLAIN = new TargetService("app", 100, Optional.empty());
  private static final CallDemand DEMAND = new CallDemand(8_000, 700);

  private final VirtualTime time = new VirtualTime();
  private Predicate<ServerInstance> ownCell = instance -> true;
  private final ServerUseTracker useTracker = new ServerUseTracker();
  private final InstanceHealth health = new InstanceHealth(time, Duration.ofSeconds(4));
  private final RequestedPauses pauses = new RequestedPauses(time);
  private final Set<InstanceKey> brittle = new HashSet<>();
  private final ServerSpeeds speeds = new ServerSpeeds(new SilentBus(), time, time);
  private final RunTimes runTimes = new RunTimes();
  private final InstanceDirectory directory = newDirectory();
  private final InstanceChooser chooser = newChooser(() -> 0.5, true);
  private long revision;

  @Test
  void choosesTheEngineWithTheFewestUnprocessedPromptTokens() {
    ServerInstance busy = add("e1", "pool", "dc1");
    ServerInstance idle = add("e2", "pool", "dc2");
    useTracker.reserve(busy.key(), new ServerUse(1, 8_000, 8_700));

    assertThat(choose(ENGINES, DEMAND)).contains(idle);
  }

  /** Guards against a slow engine that gets as many prompts as the others. */
  @Test
  void sendsPromptsToFastEnginesFirst() {
    ServerInstance slow = add("e1", "pool", "dc1");
    ServerInstance fast = add("e2", "pool", "dc1");
    for (int run = 0; run < 5; run++) {
      speeds.onFirstEvent(slow.key(), ServerUse.NONE, 8_200, Duration.ofMillis(1_864));
      speeds.onFirstEvent(fast.key(), ServerUse.NONE, 8_200, Duration.ofMillis(854));
    }
    useTracker.reserve(fast.key(), new ServerUse(1, 2_000, 2_700));
    assertThat(choose(ENGINES, DEMAND)).contains(fast);

    useTracker.reserve(fast.key(), new ServerUse(1, 8_000, 8_700));
    assertThat(choose(ENGINES, DEMAND)).contains(slow);
  }

  /** Guards against a random choice in fleets too small for daemons to crowd onto one engine. */
  @Test
  void choosesTheLeastUsedEngineUnlessManyDaemonsWould() {
    for (int id = 0; id < 9; id++) {
      useTracker.reserve(add("e" + id, "pool", "dc1").key(), new ServerUse(1 + id, 0, 700));
    }
    Random random = new Random(1);

    assertThat(chosenBy(newChooser(random::nextDouble, false))).hasSize(1);
    assertThat(chosenBy(newChooser(random::nextDouble, true))).hasSizeGreaterThan(1);
  }

  private static Set<ServerInstance> chosenBy(InstanceChooser chooser) {
    Set<ServerInstance> chosen = new HashSet<>();
    for (int call = 0; call < 50; call++) {
      chosen.add(
          chooser
              .choose(ENGINES, DEMAND, ServerConstraint.excluding(Set.of()))
              .orElseThrow()
              .instance());
    }
    return chosen;
  }

  private InstanceChooser newChooser(RandomSource random, boolean hasManyDaemons) {
    return new InstanceChooser(
        "dc1",
        directory,
        server -> ownCell.test(server),
        new ServerObservations(useTracker, speeds, runTimes, health, pauses, brittle::contains),
        random,
        PromptSavings.NONE,
        () -> hasManyDaemons);
  }

  @Test
  void avoidsEnginesWhoseMemoryIsFull() {
    ServerInstance full = add("e1", "pool", "dc1");
    ServerInstance free = add("e2", "pool", "dc1");
    useTracker.reserve(full.key(), new ServerUse(0, 0, 85_000));
    useTracker.reserve(free.key(), new ServerUse(8, 0, 40_000));

    assertThat(choose(ENGINES, DEMAND)).contains(free);
  }

  @Test
  void prefersPlainServersInOwnDataCentreUntilHalfOfTheirSlotsAreTaken() {
    ServerInstance near = add("a1", "app", "dc1");
    ServerInstance far = add("a2", "app", "dc2");
    useTracker.reserve(near.key(), new ServerUse(2, 0, 0));
    assertThat(choose(PLAIN, CallDemand.NONE)).contains(near);

    useTracker.reserve(near.key(), new ServerUse(2, 0, 0));
    assertThat(choose(PLAIN, CallDemand.NONE)).contains(far);
  }

  @Test
  void usesLostServersOnlyAsLastResort() {
    ServerInstance lost = add("e1", "pool", "dc1");
    ServerInstance busy = add("e2", "pool", "dc2");
    useTracker.reserve(busy.key(), new ServerUse(5, 40_000, 44_000));
    health.recordRefusal(lost.key());

    assertThat(choose(ENGINES, DEMAND)).contains(busy);
    assertThat(chooser.choose(ENGINES, DEMAND, ServerConstraint.excluding(Set.of(busy.key()))))
        .map(InstanceChooser.Choice::instance)
        .contains(lost);
  }

  @Test
  void choosesServerOfAnotherCellOnlyForAShorterWait() {
    ServerInstance own = add("e1", "pool", "dc1");
    ServerInstance foreign = add("e2", "pool", "dc1");
    ownCell = own::equals;
    useTracker.reserve(own.key(), new ServerUse(1, 8_000, 8_700));
    assertThat(choose(ENGINES, DEMAND)).contains(own);

    useTracker.reserve(own.key(), new ServerUse(1, 16_000, 17_400));
    assertThat(choose(ENGINES, DEMAND)).contains(foreign);
  }

  /** Guards against short prompts that wait behind work which other cells would take at once. */
  @Test
  void weighsTheWaitAgainstTheWorkOfTheCall() {
    ServerInstance own = add("e1", "pool", "dc1");
    ServerInstance foreign = add("e2", "pool", "dc1");
    ownCell = own::equals;
    useTracker.reserve(own.key(), new ServerUse(1, 8_000, 8_700));

    assertThat(choose(ENGINES, new CallDemand(800, 70))).contains(foreign);
    assertThat(choose(ENGINES, new CallDemand(8_000, 700))).contains(own);
  }

  /** Guards against a wait at full servers that does not follow what their calls take. */
  @Test
  void expectsTheMeasuredTimeOfACallAtAPlainServiceWithoutFreeSlots() {
    ServerInstance server = add("p1", "app", "dc1");
    useTracker.reserve(server.key(), new ServerUse(server.slots(), 0, 0));
    runTimes.onAnswer("app", Duration.ofMillis(20));

    assertThat(chooser.choose(PLAIN, CallDemand.NONE, ServerConstraint.excluding(Set.of())))
        .map(InstanceChooser.Choice::expectedWaitMs)
        .contains(20.0);
  }

  /**
   * Guards against callers that are sent away for a wait that runs of their service do not take.
   */
  @Test
  void expectsTheMeasuredTimeOfARunAtAnEngineWithoutFreeMemory() {
    ServerInstance full = add("e1", "pool", "dc1");
    ServerInstance busy = add("e2", "pool", "dc1");
    useTracker.reserve(full.key(), new ServerUse(0, 0, 71_000));
    useTracker.reserve(busy.key(), new ServerUse(0, 8_000, 8_700));

    runTimes.onStream("pool", 700, 100, Duration.ofMillis(400));
    assertThat(choose(ENGINES, DEMAND)).contains(full);

    runTimes.onStream("pool", 700, 100, Duration.ofMillis(4_000));
    assertThat(choose(ENGINES, DEMAND)).contains(busy);
  }

  @Test
  void placesCopiesInAnotherDataCentreThanTheirRun() {
    ServerInstance runner = add("e1", "pool", "dc1");
    add("e2", "pool", "dc1");
    ServerInstance other = add("e3", "pool", "dc2");

    assertThat(chooser.chooseCopyTarget(ENGINES, DEMAND, runner, Set.of())).contains(other);
    useTracker.reserve(other.key(), new ServerUse(0, 0, 80_000));
    assertThat(chooser.chooseCopyTarget(ENGINES, DEMAND, runner, Set.of())).isEmpty();
  }

  @Test
  void skipsServersThatAskedForAPauseUntilItEnds() {
    ServerInstance paused = add("e1", "pool", "dc1");
    pauses.record(paused.key(), Duration.ofMillis(1_500));
    runTimes.onStream("pool", 700, 100, Duration.ofMillis(200));

    assertThat(choose(ENGINES, DEMAND)).isEmpty();
    assertThat(chooser.untilPauseEnds(ENGINES))
        .as("the pause and half of the time of a run")
        .contains(Duration.ofMillis(1_600));

    ServerInstance other = add("e2", "pool", "dc2");
    assertThat(choose(ENGINES, DEMAND)).contains(other);
    assertThat(chooser.untilPauseEnds(ENGINES)).as("one server takes calls").isEmpty();

    time.advance(Duration.ofMillis(1_500));
    assertThat(choose(ENGINES, DEMAND)).contains(paused);
  }

  @Test
  void keepsTheLongerOfTwoPauses() {
    ServerInstance server = add("e1", "pool", "dc1");
    pauses.record(server.key(), Duration.ofSeconds(3));
    pauses.record(server.key(), Duration.ofSeconds(1));

    time.advance(Duration.ofSeconds(2));

    assertThat(pauses.isPaused(server.key())).isTrue();
  }

  @Test
  void tellsLeavingServersToDaemonsOfEveryCell() {
    FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
    PeerBus bus = network.join("d1");
    PeerBus ownCell = new SilentBus();
    InstanceStatusBroadcaster own =
        new InstanceStatusBroadcaster(health, newDirectory(), ownCell, bus);
    InstanceStatusBroadcaster other = broadcaster(health, directory, network.join("d2"));
    own.start();
    other.start();
    ServerInstance leaving = add("e1", "pool", "dc1");

    own.onLeaving(leaving);
    time.advance(Duration.ofMillis(2));

    assertThat(directory.ready("pool")).isEmpty();
  }

  private InstanceDirectory newDirectory() {
    return new InstanceDirectory(
        time, new PlatformReachability(time, is -> {}), Duration.ofSeconds(1), change -> {});
  }

  private static InstanceStatusBroadcaster broadcaster(
      InstanceHealth health, InstanceDirectory directory, PeerBus bus) {
    return new InstanceStatusBroadcaster(health, directory, bus, bus);
  }

  /** A bus without other daemons. */
  private static final class SilentBus implements PeerBus {

    @Override
    public Set<String> livePeerIds() {
      return Set.of();
    }

    @Override
    public void send(String daemonId, PeerMessage message) {}

    @Override
    public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {}
  }

  @Test
  void broadcastsServerFailuresToOtherDaemons() {
    FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
    InstanceStatusBroadcaster own =
        broadcaster(new InstanceHealth(time, Duration.ofSeconds(4)), directory, network.join("d1"));
    InstanceStatusBroadcaster other = broadcaster(health, directory, network.join("d2"));
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
  void doesNotAvoidServersForTheFailuresOfDaemonThatReachesNone() {
    FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
    InstanceStatusBroadcaster cut =
        broadcaster(new InstanceHealth(time, Duration.ofSeconds(4)), directory, network.join("d1"));
    InstanceStatusBroadcaster other = broadcaster(health, directory, network.join("d2"));
    other.start();
    ServerInstance server = add("e1", "pool", "dc1");
    ServerInstance lost = add("e2", "pool", "dc1");
    other.onLost(lost);
    cut.onRefused(server);
    time.advance(Duration.ofMillis(2));
    assertThat(health.isAvoided(server.key())).isTrue();

    other.setUnreached("d1", Set.of("pool"));
    assertThat(health.isAvoided(server.key())).isFalse();
    assertThat(health.mayHaveRestarted(server.key())).isFalse();
    assertThat(health.isAvoided(lost.key())).as("lost by this daemon itself").isTrue();

    time.advance(Duration.ofSeconds(5));
    cut.onRefused(server);
    time.advance(Duration.ofMillis(2));
    assertThat(health.isAvoided(server.key())).isFalse();
  }

  @Test
  void retriesLostServersAfterAnIntervalThatDoubles() {
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

  @Test
  void sendsNothingToBrittleServerWithoutRoom() {
    ServerInstance server = add("s1", "app", "dc1");
    useTracker.reserve(server.key(), new ServerUse(server.slots(), 0, 0));
    assertThat(choose(PLAIN, CallDemand.NONE)).contains(server);

    brittle.add(server.key());
    assertThat(choose(PLAIN, CallDemand.NONE)).isEmpty();
  }

  @Test
  void choosesTheRequiredVersionAlthoughItsServerIsBusier() {
    ServerInstance busy = add("e1", "pool", "dc1", "v1");
    add("e2", "pool", "dc1", "v2");
    useTracker.reserve(busy.key(), new ServerUse(9, 80_000, 88_000));

    assertThat(chooseVersion("v1")).contains(busy);
    assertThat(chooseVersion("v3")).isEmpty();
  }

  @Test
  void doesNotTrustTheVersionOfServerThatMayHaveStartedAgain() {
    ServerInstance refused = add("e1", "pool", "dc1", "v1");
    health.recordRefusal(refused.key());
    health.recordSuccess(refused.key());

    assertThat(chooseVersion("v1")).isEmpty();
    assertThat(choose(ENGINES, DEMAND)).contains(refused);
  }

  @Test
  void copiesMemoryOnlyToServerOfTheSameVersion() {
    ServerInstance runner = add("e1", "pool", "dc1", "v1");
    add("e2", "pool", "dc2", "v2");
    assertThat(chooser.chooseCopyTarget(ENGINES, DEMAND, runner, Set.of())).isEmpty();

    ServerInstance same = add("e3", "pool", "dc3", "v1");
    assertThat(chooser.chooseCopyTarget(ENGINES, DEMAND, runner, Set.of())).contains(same);
  }

  private Optional<ServerInstance> chooseVersion(String version) {
    return chooser
        .choose(ENGINES, DEMAND, ServerConstraint.excluding(Set.of()).withSoftwareVersion(version))
        .map(InstanceChooser.Choice::instance);
  }

  private Optional<ServerInstance> choose(TargetService service, CallDemand demand) {
    return chooser
        .choose(service, demand, ServerConstraint.excluding(Set.of()))
        .map(InstanceChooser.Choice::instance);
  }

  private ServerInstance add(String id, String service, String dataCentre) {
    return add(id, service, dataCentre, "v1");
  }

  private ServerInstance add(String id, String service, String dataCentre, String version) {
    ServerInstance instance =
        new ServerInstance(id, 1, 0, service, "10.0.0.1", 80, dataCentre, 6, false, version);
    directory.applyChange(
        new ConfigurationRecord(
            ConfigurationKind.INSTANCE, id, ++revision, Optional.of(Json.write(instance))));
    return instance;
  }
}
