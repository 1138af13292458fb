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

  private static final Duration LOOK_PERIOD = Duration.ofSeconds(2);
  private static final Duration LATEST_ORDER = Duration.ofSeconds(44);
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

  /** Several daemons that all work on one engine, as when they disagree on who lives. */
  private static final class Bench {
    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform();
    private final AtomicLong orderIds = new AtomicLong();
    private final Random random;
    private final FakeEngine engine;
    private final List<Long> knownVersions = new ArrayList<>();
    private long newestVersion = 1;

    Bench(long seed, boolean checksFencing, double lateRate, int daemons) {
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
      look(reconciler, daemon);
    }

    private void look(PlacementReconciler reconciler, int daemon) {
      OrderTask task =
          new OrderTask(ENGINE, wanted(knownVersions.get(daemon)), knownVersions.get(daemon));
      reconciler.reconcile(task).whenComplete((result, error) -> lookAgain(reconciler, daemon));
    }

    private void lookAgain(PlacementReconciler reconciler, int daemon) {
      long jitterMs = random.nextLong(LOOK_PERIOD.toMillis());
      time.schedule(LOOK_PERIOD.plusMillis(jitterMs).dividedBy(2), () -> look(reconciler, daemon));
    }

    void change() {
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
  void staleHolderLeavesNoWrongStateOnEngineThatChecks(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int daemons) {
    // GIVEN daemons whose orders may come late, while the placement changes
    Bench bench = new Bench(seed, true, 0.3, daemons);
    runChanges(bench);

    // WHEN no more change comes
    bench.time.advance(CORRECTION_BOUND.plusSeconds(30));

    // THEN the engine holds the newest placement, and never applied an older number after a newer
    assertThat(bench.isReached()).isTrue();
    assertThat(bench.engine.appliedNumbers()).isSorted();
  }

  @Property(seed = "6202", tries = 60)
  void wrongStateIsCorrectedWithinBoundOnEngineThatIgnoresNumbers(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int daemons) {
    // GIVEN daemons whose orders may come late, while the placement changes
    Bench bench = new Bench(seed, false, 0.3, daemons);
    runChanges(bench);

    // WHEN the last late order has come and the bound has passed
    bench.time.advance(LATEST_ORDER.plus(CORRECTION_BOUND));

    // THEN the engine holds the newest placement
    assertThat(bench.isReached()).isTrue();
  }

  @Property(seed = "6203", tries = 60)
  void onlyOneHolderOrdersAtATimeWhenNoOrderIsLate(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 4) int daemons) {
    // GIVEN daemons that all believe they own the engine
    Bench bench = new Bench(seed, false, 0, daemons);

    // WHEN the placement changes again and again
    runChanges(bench);

    // THEN even an engine that ignores numbers sees them only rise
    assertThat(bench.engine.appliedNumbers()).isNotEmpty().isSorted();
  }

  @Property(seed = "6204", tries = 30)
  void daemonWithOutdatedPlacementNeverOrdersEngineBack(@ForAll long seed) {
    // GIVEN two daemons, of which one learns of no change, and the newest placement reached
    Bench bench = new Bench(seed, false, 0, 2);
    bench.time.advance(CORRECTION_BOUND);
    bench.newestVersion++;
    bench.knownVersions.set(0, bench.newestVersion);
    bench.time.advance(CORRECTION_BOUND);
    assertThat(bench.isReached()).isTrue();
    int orders = bench.engine.appliedNumbers().size();

    // WHEN time passes
    bench.time.advance(Duration.ofMinutes(5));

    // THEN no further order was given
    assertThat(bench.isReached()).isTrue();
    assertThat(bench.engine.appliedNumbers()).hasSize(orders);
  }

  private static void runChanges(Bench bench) {
    for (int i = 0; i < 6; i++) {
      bench.change();
      bench.time.advance(Duration.ofSeconds(5 + bench.random.nextInt(40)));
    }
    bench.engine.stopDelayingOrders();
  }
}
