package org.galenapost.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.galenapost.core.routing.SimulatedServer.Fault;
import org.galenapost.core.testing.VirtualTime;

/**
 * Compares ways to choose a server in virtual time: some daemons before 18 servers of eight slots
 * in three data centres, at 80% of capacity. Prints one line per fault and policy.
 */
final class RoutingExperiment {

  private static final long DEFAULT_SEED = 17;
  private static final int DEFAULT_DAEMONS = 6;
  private static final int SERVERS = 18;
  private static final int DATA_CENTRES = 3;
  private static final int PREFIXES = 120;
  private static final double UTILISATION = 0.8;
  private static final double LONG_PART = 0.2;
  private static final double SHORT_DECODE_SECONDS = 0.3;
  private static final double LONG_DECODE_SECONDS = 6;
  private static final double MEAN_PREFILL_SECONDS = 0.1;
  private static final Duration RUN = Duration.ofSeconds(300);
  private static final Duration WARM_UP = Duration.ofSeconds(60);
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(2);
  private static final Duration REPORT_LAG = Duration.ofSeconds(1);
  private static final String FAULTY = "s7";

  private final VirtualTime time = new VirtualTime();
  private final RandomGenerator random;
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final List<FleetRouter> routers = new ArrayList<>();
  private final Histogram firstAnswerMicros = new Histogram(3);
  private int sent;
  private int failed;

  private RoutingExperiment(Policy policy, Fault fault, long seed, int daemons) {
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < SERVERS; i++) {
      String id = "s" + i;
      Fault own = id.equals(FAULTY) ? fault : Fault.NONE;
      servers.add(new SimulatedServer(time, Fleets.engine(id, "dc" + i % DATA_CENTRES, "m0"), own));
    }
    for (int i = 0; i < daemons; i++) {
      routers.add(router(policy, "dc" + i % DATA_CENTRES, new SplittableRandom(seed + i)));
    }
  }

  /** Runs every policy under every fault; the arguments are the seed and the daemons. */
  public static void main(String[] arguments) {
    long seed = arguments.length < 1 ? DEFAULT_SEED : Long.parseLong(arguments[0]);
    int daemons = arguments.length < 2 ? DEFAULT_DAEMONS : Integer.parseInt(arguments[1]);
    System.out.printf("seed=%d daemons=%d servers=%d%n", seed, daemons, SERVERS);
    System.out.println("| fault | policy | p50 ms | p99 ms | failed % | on faulty % | hits % |");
    System.out.println("|---|---|---|---|---|---|---|");
    for (Fault fault : Fault.values()) {
      for (Policy policy : Policy.values()) {
        new RoutingExperiment(policy, fault, seed, daemons).run(fault, policy);
      }
    }
  }

  private FleetRouter router(Policy policy, String dataCentre, RandomGenerator choiceRandom) {
    RoutingSettings settings = RoutingSettings.defaults();
    PrefixHints hints = new PrefixHints(time);
    FleetRouter router =
        new FleetRouter(
            time,
            settings,
            policy.choice(settings, hints, dataCentre, choiceRandom),
            new Placements(),
            hints,
            choiceRandom,
            RoutingListener.NONE);
    router.onServers(servers.stream().map(SimulatedServer::server).toList());
    return router;
  }

  private void run(Fault fault, Policy policy) {
    routers.forEach(this::scheduleReports);
    scheduleArrival();
    time.advance(RUN);
    int hits = servers.stream().mapToInt(SimulatedServer::cacheHits).sum();
    int received = servers.stream().mapToInt(SimulatedServer::received).sum();
    int onFaulty = servers.get(7).received();
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | %.0f | %.0f | %.2f | %.1f | %.0f |%n",
        fault.name().toLowerCase(Locale.ROOT).replace('_', '-'),
        policy.name().toLowerCase(Locale.ROOT).replace('_', '-'),
        firstAnswerMicros.getValueAtPercentile(50) / 1e3,
        firstAnswerMicros.getValueAtPercentile(99) / 1e3,
        100.0 * failed / sent,
        100.0 * onFaulty / received,
        100.0 * hits / received);
  }

  private void scheduleReports(FleetRouter router) {
    time.schedule(
        Duration.ofMillis(random.nextInt((int) REPORT_INTERVAL.toMillis())),
        () -> takeReports(router));
  }

  private void takeReports(FleetRouter router) {
    for (SimulatedServer server : servers) {
      LoadReport report = server.report();
      time.schedule(REPORT_LAG, () -> router.onLoadReport(server.server().id(), report));
    }
    time.schedule(REPORT_INTERVAL, () -> takeReports(router));
  }

  private void scheduleArrival() {
    double meanSeconds =
        MEAN_PREFILL_SECONDS
            + (1 - LONG_PART) * SHORT_DECODE_SECONDS
            + LONG_PART * LONG_DECODE_SECONDS;
    double perSecond = UTILISATION * SERVERS * SimulatedServer.SLOTS / meanSeconds;
    double pauseSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
    time.schedule(
        Duration.ofNanos((long) (pauseSeconds * 1e9)),
        () -> {
          arrive();
          scheduleArrival();
        });
  }

  private void arrive() {
    boolean isLong = random.nextDouble() < LONG_PART;
    double meanSeconds = isLong ? LONG_DECODE_SECONDS : SHORT_DECODE_SECONDS;
    double decodeSeconds = -Math.log(1 - random.nextDouble()) * meanSeconds;
    String prefix = "p" + (int) (PREFIXES * Math.pow(random.nextDouble(), 2));
    FleetRouter router = routers.get(random.nextInt(routers.size()));
    boolean isCounted = time.nanos() > WARM_UP.toNanos();
    Route route = router.route(Fleets.request("m0", Optional.of(prefix))).get();
    SimulatedServer server =
        servers.stream().filter(s -> s.server().id().equals(route.server().id())).findFirst().get();
    long sentNanos = time.nanos();
    sent += isCounted ? 1 : 0;
    server.send(
        new SimulatedServer.Job(
            prefix,
            Duration.ofNanos((long) (decodeSeconds * 1e9)),
            () -> answered(route, sentNanos, isCounted),
            route::succeeded,
            () -> fail(route, isCounted)));
  }

  private void answered(Route route, long sentNanos, boolean isCounted) {
    Duration latency = time.since(sentNanos);
    route.recordFirstAnswer(latency);
    if (isCounted) {
      firstAnswerMicros.recordValue(latency.toNanos() / 1000);
    }
  }

  private void fail(Route route, boolean isCounted) {
    failed += isCounted ? 1 : 0;
    route.failed();
  }

  /** The compared ways to choose. */
  private enum Policy {
    TWO_CANDIDATES {
      @Override
      ServerChoice choice(
          RoutingSettings settings, PrefixHints hints, String dataCentre, RandomGenerator random) {
        return new TwoCandidateChoice(
            dataCentre,
            DataCentreDistance.EQUIDISTANT,
            settings,
            hints,
            random,
            RoutingListener.NONE);
      }
    },
    RANDOM {
      @Override
      ServerChoice choice(
          RoutingSettings settings, PrefixHints hints, String dataCentre, RandomGenerator random) {
        return (request, eligible, now) -> pick(eligible.get(random.nextInt(eligible.size())));
      }
    },
    ROUND_ROBIN {
      @Override
      ServerChoice choice(
          RoutingSettings settings, PrefixHints hints, String dataCentre, RandomGenerator random) {
        int[] next = {random.nextInt(SERVERS)};
        return (request, eligible, now) -> pick(eligible.get(next[0]++ % eligible.size()));
      }
    },
    LEAST_IN_FLIGHT {
      @Override
      ServerChoice choice(
          RoutingSettings settings, PrefixHints hints, String dataCentre, RandomGenerator random) {
        return (request, eligible, now) -> pick(least(eligible, random, ServerLoad::inFlight));
      }
    },
    LEAST_REPORTED {
      @Override
      ServerChoice choice(
          RoutingSettings settings, PrefixHints hints, String dataCentre, RandomGenerator random) {
        return (request, eligible, now) ->
            pick(
                least(
                    eligible,
                    random,
                    load -> load.report().map(LoadReport::outstanding).orElse(0)));
      }
    };

    abstract ServerChoice choice(
        RoutingSettings settings, PrefixHints hints, String dataCentre, RandomGenerator random);

    private static ServerChoice.Choice pick(ServerLoad load) {
      return new ServerChoice.Choice(load, "");
    }

    private static ServerLoad least(
        List<ServerLoad> eligible, RandomGenerator random, ToIntFunction<ServerLoad> load) {
      int start = random.nextInt(eligible.size());
      return IntStream.range(0, eligible.size())
          .mapToObj(i -> eligible.get((start + i) % eligible.size()))
          .min(Comparator.comparingInt(load))
          .orElseThrow();
    }
  }
}
