package org.galenapost.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.configuration.Placement;
import org.galenapost.core.configuration.Placement.PlacedModel;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;

class PlacementReconcilerProperties {

  private static final Duration RECONCILE_PERIOD = Duration.ofSeconds(2);
  private static final Duration MAX_ORDER_DELAY = Duration.ofSeconds(44);
  private static final Duration CORRECTION_BOUND = Duration.ofSeconds(20);
  private static final BackendServer ENGINE =
      new BackendServer(
          "e1",
          "127.0.0.1",
          1,
          ServerKind.ENGINE,
          "dc1",
          Set.of(),
          Optional.empty(),
          ServerState.LIVE,
          true);

  /** Several daemons that all reconcile one engine, as when their membership views differ. */
  private static final class Fixture {
    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform();
    private final AtomicLong orderIds = new AtomicLong();
    private final Random random;
    private final FakeEngine engine;
    private final List<Long> knownVersions = new ArrayList<>();
    private long newestVersion = 1;

    Fixture(long seed, boolean checksFencing, double lateRate, int daemons) {
      random = new Random(seed);
      engine = new FakeEngine(time, random, checksFencing, lateRate);
      for (int i = 0; i < daemons; i++) {
        knownVersions.add(newestVersion);
        start(i);
      }
    }

    private void start(int daemon) {
      PlatformLeases leases =
          new PlatformLeases("d" + daemon, LeaseSettings.defaults(), platform.newClient(), time);
      PlacementReconciler reconciler =
          new PlacementReconciler(
              engine,
              leases,
              new LoadRateLimiter(time, 1, step -> 0),
              () -> "o-" + orderIds.incrementAndGet(),
              server -> Optional.of(knownVersions.get(daemon)));
      reconcile(reconciler, daemon);
    }

    private void reconcile(PlacementReconciler reconciler, int daemon) {
      OrderTask task =
          new OrderTask(ENGINE, wanted(knownVersions.get(daemon)), knownVersions.get(daemon));
      reconciler
          .reconcile(task)
          .whenComplete((result, error) -> scheduleNextReconcile(reconciler, daemon));
    }

    private void scheduleNextReconcile(PlacementReconciler reconciler, int daemon) {
      long jitterMs = random.nextLong(RECONCILE_PERIOD.toMillis());
      time.schedule(
          RECONCILE_PERIOD.plusMillis(jitterMs).dividedBy(2), () -> reconcile(reconciler, daemon));
    }

    void changePlacement() {
      newestVersion++;
      int first = random.nextInt(knownVersions.size());
      for (int i = 0; i < knownVersions.size(); i++) {
        int daemon = i;
        long version = newestVersion;
        Duration delay = i == first ? Duration.ZERO : Duration.ofMillis(random.nextInt(30_000));
        time.schedule(
            delay, () -> knownVersions.set(daemon, Math.max(version, knownVersions.get(daemon))));
      }
    }

    boolean isReached() {
      return PlacementComparison.isReached(wanted(newestVersion), engine.current());
    }
  }

  private static Placement wanted(long version) {
    PlacedModel model = new PlacedModel("m1", "v" + version, Set.of());
    return new Placement(ENGINE.id(), "serve", List.of(model));
  }

  @Property(seed = "6201", tries = 60)
  void staleHolderLeavesNoWrongStateOnEngineThatChecksFencing(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int daemons) {
    // GIVEN daemons whose orders may be applied late, while the placement changes
    Fixture fixture = new Fixture(seed, true, 0.3, daemons);
    changePlacementRepeatedly(fixture);

    // WHEN the placement no longer changes
    fixture.time.advance(CORRECTION_BOUND.plusSeconds(30));

    // THEN the engine matches the newest placement, and applied no lower fencing number after a
    // higher one
    assertThat(fixture.isReached()).isTrue();
    assertThat(fixture.engine.appliedFencingNumbers()).isSorted();
  }

  @Property(seed = "6202", tries = 60)
  void wrongStateIsCorrectedWithinBoundOnEngineThatIgnoresFencing(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int daemons) {
    // GIVEN daemons whose orders may be applied late, while the placement changes
    Fixture fixture = new Fixture(seed, false, 0.3, daemons);
    changePlacementRepeatedly(fixture);

    // WHEN the last late order is applied and the correction bound has passed
    fixture.time.advance(MAX_ORDER_DELAY.plus(CORRECTION_BOUND));

    // THEN the engine matches the newest placement
    assertThat(fixture.isReached()).isTrue();
  }

  @Property(seed = "6203", tries = 60)
  void onlyOneHolderOrdersAtATimeWhenNoOrderIsLate(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 4) int daemons) {
    // GIVEN daemons that all reconcile the engine
    Fixture fixture = new Fixture(seed, false, 0, daemons);

    // WHEN the placement changes repeatedly
    changePlacementRepeatedly(fixture);

    // THEN the fencing numbers only rise, even on an engine that ignores them
    assertThat(fixture.engine.appliedFencingNumbers()).isNotEmpty().isSorted();
  }

  @Property(seed = "6204", tries = 30)
  void daemonWithOutdatedPlacementNeverRevertsEngine(@ForAll long seed) {
    // GIVEN two daemons, one with an outdated placement, and an engine with the newest placement
    Fixture fixture = new Fixture(seed, false, 0, 2);
    fixture.time.advance(CORRECTION_BOUND);
    fixture.newestVersion++;
    fixture.knownVersions.set(0, fixture.newestVersion);
    fixture.time.advance(CORRECTION_BOUND);
    assertThat(fixture.isReached()).isTrue();
    int orders = fixture.engine.appliedFencingNumbers().size();

    // WHEN five minutes pass
    fixture.time.advance(Duration.ofMinutes(5));

    // THEN no further order is applied
    assertThat(fixture.isReached()).isTrue();
    assertThat(fixture.engine.appliedFencingNumbers()).hasSize(orders);
  }

  private static void changePlacementRepeatedly(Fixture fixture) {
    for (int i = 0; i < 6; i++) {
      fixture.changePlacement();
      fixture.time.advance(Duration.ofSeconds(5 + fixture.random.nextInt(40)));
    }
    fixture.engine.stopDelayingOrders();
  }
}
