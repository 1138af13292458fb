package org.galenapost.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.testing.VirtualTime;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;

class FleetRouterProperties {

  private static final RoutingSettings SETTINGS = RoutingSettings.defaults();

  private final VirtualTime time = new VirtualTime();
  private final PrefixHints hints = new PrefixHints(time);
  private final Placements placements = new Placements();

  private FleetRouter router(long seed) {
    RandomGenerator random = new SplittableRandom(seed);
    ServerChoice choice =
        new TwoCandidateChoice(
            "dc0", DataCentreDistance.EQUIDISTANT, SETTINGS, hints, random, RoutingListener.NONE);
    return new FleetRouter(time, SETTINGS, choice, placements, hints, random, RoutingListener.NONE);
  }

  private static RouteRequest request() {
    return Fleets.request("m0");
  }

  private void completeAfter(Route route, Duration latency) {
    time.advance(latency);
    route.recordFirstAnswer(latency);
    route.succeeded();
  }

  @Property(tries = 50, seed = "21")
  void ejectionNeverEmptiesPool(
      @ForAll @IntRange(min = 1, max = 20) int servers, @ForAll long seed) {
    // GIVEN a pool in which every server fails
    FleetRouter router = router(seed);
    router.onServers(Fleets.engines(servers, 2, 1));

    // WHEN requests go on
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      time.advance(Duration.ofMillis(10));
      Route route = router.route(request()).get();
      used.add(route.server().id());
      route.failed();
    }

    // THEN each one found a server, and more than one was tried
    assertThat(used).hasSizeGreaterThanOrEqualTo(Math.min(2, servers));
  }

  @Property(tries = 50, seed = "22")
  void leavingAndExcludedServersAreNeverChosen(@ForAll long seed) {
    FleetRouter router = router(seed);
    List<BackendServer> servers =
        IntStream.range(0, 9)
            .mapToObj(i -> Fleets.engine("s" + i, "dc" + i % 3, "m0"))
            .map(
                server -> server.id().equals("s0") ? server.withState(ServerState.LEAVING) : server)
            .toList();
    router.onServers(servers);
    RouteRequest request =
        new RouteRequest(
            "m0",
            false,
            Optional.empty(),
            Optional.empty(),
            Optional.of("prefix"),
            request().urgency(),
            Set.of("s1"),
            false);

    for (int i = 0; i < 200; i++) {
      Route route = router.route(request).get();
      assertThat(route.server().id()).isNotIn("s0", "s1");
      completeAfter(route, Duration.ofMillis(5));
    }
  }

  @Example
  void failFastServerGetsOnlyProbes() {
    // GIVEN a server that fails at once among nine that take 40 ms
    FleetRouter router = router(1);
    router.onServers(Fleets.engines(10, 1, 1));

    // WHEN 2,000 requests come, 10 ms apart
    int failures = 0;
    for (int i = 0; i < 2000; i++) {
      time.advance(Duration.ofMillis(10));
      Route route = router.route(request()).get();
      if (route.server().id().equals("s3")) {
        failures++;
        route.failed();
      } else {
        route.recordFirstAnswer(Duration.ofMillis(40));
        route.succeeded();
      }
    }

    // THEN few of them met it
    assertThat(failures).isLessThan(20);
  }

  @Example
  void recoveredServerReturnsThroughProbes() {
    FleetRouter router = router(2);
    router.onServers(Fleets.engines(5, 1, 1));
    for (int i = 0; i < 100; i++) {
      Route route = router.route(request()).get();
      if (route.server().id().equals("s2")) {
        route.failed();
      } else {
        completeAfter(route, Duration.ofMillis(5));
      }
    }

    int late = 0;
    for (int i = 0; i < 3000; i++) {
      Route route = router.route(request()).get();
      completeAfter(route, Duration.ofMillis(20));
      late += i >= 2000 && route.server().id().equals("s2") ? 1 : 0;
    }

    assertThat(late).as("of the last 1000 requests").isBetween(100, 300);
  }

  @Example
  void reportWithUnchangedTimestampLosesItsWeight() {
    ServerLoad load =
        new ServerLoad(Fleets.engine("s0", "dc0", "m0"), SETTINGS, new SplittableRandom(1));
    LoadReport idle = new LoadReport(0, 0, 0, 0, Instant.EPOCH);

    for (int i = 0; i < 10; i++) {
      load.reported(idle, time.nanos());
      time.advance(Duration.ofSeconds(2));
    }

    assertThat(load.reportWeight(time.nanos())).isLessThan(0.05);
    assertThat(load.outstanding(7, time.nanos())).isGreaterThan(6.5);
  }

  @Example
  void reportBelowOwnInFlightRequestsIsIgnored() {
    ServerLoad load =
        new ServerLoad(Fleets.engine("s0", "dc0", "m0"), SETTINGS, new SplittableRandom(1));
    IntStream.range(0, 10).forEach(i -> load.started(time.nanos()));

    for (int i = 0; i < 4; i++) {
      load.reported(new LoadReport(0, 0, 0, 0, Instant.EPOCH.plusSeconds(i)), time.nanos());
    }

    assertThat(load.reportWeight(time.nanos())).isZero();
  }

  @Example
  void samePrefixGoesToSameServerUntilItIsOverBound() {
    FleetRouter router = router(3);
    router.onServers(Fleets.engines(8, 1, 1));
    RouteRequest request = Fleets.request("m0", Optional.of("p1"));

    int onOwner = 0;
    Route first = router.route(request).get();
    String owner = first.server().id();
    completeAfter(first, Duration.ofMillis(10));
    for (int i = 0; i < 200; i++) {
      Route route = router.route(request).get();
      onOwner += route.server().id().equals(owner) ? 1 : 0;
      completeAfter(route, Duration.ofMillis(10));
    }
    for (int i = 0; i < 64; i++) {
      router.route(request);
    }

    assertThat(onOwner).as("of 200, one after the other").isGreaterThan(190);
    assertThat(router.inFlight(owner)).as("of 64 at once").isLessThan(24);
  }

  @Example
  void hintsSurviveSmallGapsInCacheEventsButNotLargeOnes() {
    hints.onEvent("s0", new PrefixHints.CacheEvent(4, true, "p1"));
    hints.onEvent("s0", new PrefixHints.CacheEvent(9, true, "p2"));
    hints.onEvent("s0", new PrefixHints.CacheEvent(3, false, "p2"));
    boolean isHeldAfterSmallGap = hints.isHeld("s0", "p1");
    hints.onEvent("s0", new PrefixHints.CacheEvent(40, true, "p3"));

    assertThat(isHeldAfterSmallGap).isTrue();
    assertThat(hints.isHeld("s0", "p1")).isFalse();
    assertThat(hints.isHeld("s0", "p2")).isFalse();
    assertThat(hints.isHeld("s0", "p3")).isTrue();
  }

  @Example
  void ejectionInvalidatesPrefixHintsOfServer() {
    FleetRouter router = router(8);
    router.onServers(List.of(Fleets.engine("s0", "dc0", "m0")));
    hints.onEvent("s0", new PrefixHints.CacheEvent(7, true, "p1"));

    for (int i = 0; i < SETTINGS.consecutiveFailures(); i++) {
      router.route(request()).get().failed();
    }

    assertThat(hints.isHeld("s0", "p1")).isFalse();
    assertThat(hints.lastSequence("s0")).isZero();
  }

  @Example
  void remoteDataCentreIsUsedOnlyWhenLocalServersAreSlower() {
    FleetRouter router = router(4);
    router.onServers(
        List.of(Fleets.engine("near", "dc0", "m0"), Fleets.engine("far", "dc1", "m0")));

    List<String> quiet =
        IntStream.range(0, 20)
            .mapToObj(i -> router.route(request()).get())
            .peek(route -> completeAfter(route, Duration.ofMillis(10)))
            .map(route -> route.server().id())
            .toList();
    IntStream.range(0, 20).forEach(i -> router.route(request()));

    assertThat(quiet).containsOnly("near");
    assertThat(router.inFlight("far")).isBetween(4, 10);
  }

  @Example
  void versionAndAdapterAreOnlyServedWhereTheyAreLoaded() {
    FleetRouter router = router(5);
    router.onServers(Fleets.engines(3, 1, 1));
    placements.onState("s0", List.of(new LoadedModel("m0", "v1", Set.of("a"), false)));
    placements.onState("s1", List.of(new LoadedModel("m0", "v2", Set.of("a"), false)));
    placements.onState("s2", List.of(new LoadedModel("m0", "v2", Set.of(), false)));
    RouteRequest request =
        new RouteRequest(
            "m0",
            false,
            Optional.of("a"),
            Optional.of("v2"),
            Optional.empty(),
            request().urgency(),
            Set.of(),
            true);

    for (int i = 0; i < 20; i++) {
      assertThat(router.route(request).get().server().id()).isEqualTo("s1");
    }
  }

  @Example
  void unknownModelAndUnavailableModelHaveDifferentReasons() {
    FleetRouter router = router(6);
    router.onServers(List.of(Fleets.engine("s0", "dc0", "m0").withState(ServerState.LEAVING)));

    var leaving = router.route(request()).getLeft();
    var unknown = router.route(Fleets.request("m9")).getLeft();

    assertThat(leaving.reason()).isEqualTo(RefusalReason.NO_SERVER);
    assertThat(leaving.retryAfter()).isPresent();
    assertThat(leaving.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(unknown.reason()).isEqualTo(RefusalReason.UNKNOWN_MODEL);
  }
}
