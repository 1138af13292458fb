package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.prompt.HeldPrompts;
import org.galenapost.core.prompt.PromptPart;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class HeldPromptChoiceTest {

  private static final TargetService ENGINES =
      new TargetService("pool", 100, Optional.of(new EngineMemory(88_000, true)));
  private static final List<PromptPart> PARTS =
      List.of(new PromptPart(1, 200), new PromptPart(2, 7_800));
  private static final CallDemand DEMAND = new CallDemand(8_000, 700, PARTS);

  private final VirtualTime time = new VirtualTime();
  private final Random random = new Random(1);
  private final ServerUseTracker useTracker = new ServerUseTracker();
  private final InstanceHealth health = new InstanceHealth(time, Duration.ofSeconds(4));
  private final RequestedPauses pauses = new RequestedPauses(time);
  private final Set<InstanceKey> brittle = new HashSet<>();
  private final HeldPrompts held = new HeldPrompts(time);
  private final ServerSpeeds speeds =
      new ServerSpeeds(new FakeNetwork(time, Duration.ZERO).join("d1"), time, time);
  private final InstanceDirectory directory =
      new InstanceDirectory(
          time, new PlatformReachability(time, is -> {}), Duration.ofSeconds(1), change -> {});
  private final InstanceChooser chooser =
      new InstanceChooser(
          "dc1",
          directory,
          server -> true,
          new ServerObservations(
              useTracker, speeds, new RunTimes(), health, pauses, brittle::contains),
          random::nextDouble,
          new HeldPromptSavings(held),
          () -> true);
  private final ServerInstance other = add("e1", "v1");
  private final ServerInstance holder = add("e2", "v1");
  private long revision;

  /** Guards against a preference that has no effect, or that ignores the wait at the server. */
  @Test
  void prefersHolderUntilItsWaitExceedsWhatIsSaved() {
    held.recordOwnRead(holder.key(), PARTS);
    InstanceChooser.Choice idle = choose();
    assertThat(idle.instance()).isEqualTo(holder);
    assertThat(idle.savedTokens()).isBetween(7_900.0, 8_000.0);
    assertThat(idle.expectedWaitMs()).as("never below zero").isZero();

    useTracker.reserve(holder.key(), new ServerUse(1, 6_000, 6_700));
    InstanceChooser.Choice queued = choose();
    assertThat(queued.instance()).isEqualTo(holder);
    assertThat(queued.isDueToHeldPrompt()).isTrue();

    useTracker.reserve(holder.key(), new ServerUse(1, 2_400, 3_000));
    InstanceChooser.Choice full = choose();
    assertThat(full.instance()).isEqualTo(other);
    assertThat(full.isDueToHeldPrompt()).isFalse();
  }

  /** Guards against savings that override what keeps calls away from a server. */
  @Test
  void neverOverridesConstraintsPausesAvoidedAndBrittleServers() {
    held.recordOwnRead(holder.key(), PARTS);
    assertThat(chooser.choose(ENGINES, DEMAND, ServerConstraint.excluding(Set.of(holder.key()))))
        .map(InstanceChooser.Choice::instance)
        .contains(other);

    pauses.record(holder.key(), Duration.ofSeconds(1));
    assertThat(choose().instance()).isEqualTo(other);
    time.advance(Duration.ofSeconds(1));
    assertThat(choose().instance()).isEqualTo(holder);

    brittle.add(holder.key());
    useTracker.reserve(holder.key(), new ServerUse(holder.slots(), 0, 0));
    assertThat(choose().instance()).isEqualTo(other);
    useTracker.reserve(holder.key(), new ServerUse(-holder.slots(), 0, 0));
    assertThat(choose().instance()).isEqualTo(holder);

    health.recordLoss(holder.key());
    useTracker.reserve(other.key(), new ServerUse(5, 40_000, 44_000));
    assertThat(choose().instance()).isEqualTo(other);
  }

  /** Guards against a reduction for a server that evicts what it holds, or fails calls. */
  @Test
  void expectsNoSavingsWithoutMemoryOrSlotsOrAtFailingServer() {
    held.recordOwnRead(holder.key(), PARTS);
    ServerUseTracker.Reservation slots =
        useTracker.reserve(holder.key(), new ServerUse(holder.slots(), 0, 0));
    assertThat(savedTokens(holder)).isZero();
    slots.release();
    assertThat(savedTokens(holder)).isPositive();

    for (int call = 0; call < 4; call++) {
      health.recordFailure(holder.key());
    }
    assertThat(savedTokens(holder)).isZero();

    held.recordOwnRead(other.key(), PARTS);
    useTracker.reserve(other.key(), new ServerUse(1, 0, 75_000));
    assertThat(savedTokens(other)).isZero();
  }

  /** Guards against copies of memory that go to a server because it holds a prompt. */
  @Test
  void choosesCopyTargetsByMemoryOnly() {
    ServerInstance runner = add("e3", "v1", "dc2");
    held.recordOwnRead(holder.key(), PARTS);
    useTracker.reserve(holder.key(), new ServerUse(1, 4_000, 4_700));

    assertThat(chooser.chooseCopyTarget(ENGINES, DEMAND, runner, Set.of())).contains(other);
  }

  /**
   * Guards against ties that go to one server: a new random time for each comparison gave the last
   * of several equal servers half of the calls.
   */
  @Test
  void spreadsCallsEvenlyOverEqualServers() {
    add("e3", "v1");
    add("e4", "v1");
    TreeMap<String, Integer> counts = new TreeMap<>();
    for (int call = 0; call < 4_000; call++) {
      counts.merge(choose().instance().id(), 1, Integer::sum);
    }
    assertThat(counts.values()).hasSize(4).allSatisfy(n -> assertThat(n).isBetween(900, 1_100));
  }

  private double savedTokens(ServerInstance instance) {
    return chooser.estimate(ENGINES, instance, DEMAND).savedTokens();
  }

  private InstanceChooser.Choice choose() {
    return chooser.choose(ENGINES, DEMAND, ServerConstraint.excluding(Set.of())).orElseThrow();
  }

  private ServerInstance add(String id, String version) {
    return add(id, version, "dc1");
  }

  private ServerInstance add(String id, String version, String dataCentre) {
    ServerInstance instance =
        new ServerInstance(id, 1, 0, "pool", "10.0.0.1", 80, dataCentre, 6, false, version);
    directory.applyChange(
        new ConfigurationRecord(
            ConfigurationKind.INSTANCE, id, ++revision, Optional.of(Json.write(instance))));
    return instance;
  }
}
