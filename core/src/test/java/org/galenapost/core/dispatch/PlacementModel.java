package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleConsumer;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;

/**
 * Plays calls of the daemons of one cell against engines in virtual time. An engine reads one
 * prompt after the other and then generates all answers side by side. Uses travel with the delay of
 * the real daemons.
 */
final class PlacementModel {

  static final TargetService SERVICE =
      new TargetService("pool", 840, Optional.of(new EngineMemory(88_000, false)));

  private static final int DAEMONS = 12;
  private static final Duration USE_DELAY = Duration.ofMillis(50);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration RUN = Duration.ofMillis(3_000);
  private static final int OUTPUT_TOKENS = 700;

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
  private final Random random = new Random(7);
  private final List<Daemon> daemons = new ArrayList<>();
  private final Map<InstanceKey, Engine> engines = new HashMap<>();
  private final List<Double> waitsMs = new ArrayList<>();
  private final Map<Integer, List<Double>> waitsMsByPriority = new HashMap<>();
  private final Map<Integer, Integer> callsByPriority = new HashMap<>();
  private final boolean isPresentDecision;
  private long revision;

  /**
   * Creates a cell.
   *
   * @param isPresentDecision whether {@link InstanceChooser} decides, or else the rule before it
   *     used measured speeds
   * @param speedFactors the speed of each engine as a multiple of the nominal one
   */
  PlacementModel(boolean isPresentDecision, List<Double> speedFactors) {
    this.isPresentDecision = isPresentDecision;
    for (int index = 0; index < DAEMONS; index++) {
      daemons.add(new Daemon("d" + index));
    }
    for (int index = 0; index < speedFactors.size(); index++) {
      addEngine("e" + index, speedFactors.get(index));
    }
  }

  InstanceKey addEngine(String id, double speedFactor) {
    ServerInstance instance =
        new ServerInstance(id, 1, 0, "pool", "10.0.0.1", 80, "dc1", 96, false, "v1");
    engines.put(instance.key(), new Engine(speedFactor));
    revision++;
    daemons.forEach(
        daemon ->
            daemon.directory.applyChange(
                new ConfigurationRecord(
                    ConfigurationKind.INSTANCE, id, revision, Optional.of(Json.write(instance)))));
    return instance.key();
  }

  /** Lets calls with exponential pauses between them arrive at random daemons. */
  void play(double callsPerS, Duration duration) {
    double elapsedMs = 0;
    while (elapsedMs < duration.toMillis()) {
      double pauseMs = -Math.log(1 - random.nextDouble()) * 1_000 / callsPerS;
      time.advance(Duration.ofNanos((long) (pauseMs * 1_000_000)));
      elapsedMs += pauseMs;
      daemons.get(random.nextInt(DAEMONS)).call(new CallDemand(promptTokens(), OUTPUT_TOKENS));
    }
  }

  /**
   * Lets calls of the priorities 0, 1 and 2 arrive.
   *
   * @param hasHeadroom whether less urgent calls leave headroom and wait at the daemon for it
   * @param callsPerS the calls of each priority per second
   * @param duration how long calls arrive; the last ones are then given the time to end
   */
  void playPriorities(boolean hasHeadroom, List<Double> callsPerS, Duration duration) {
    double totalPerS = callsPerS.stream().mapToDouble(Double::doubleValue).sum();
    double elapsedMs = 0;
    while (elapsedMs < duration.toMillis()) {
      double pauseMs = -Math.log(1 - random.nextDouble()) * 1_000 / totalPerS;
      time.advance(Duration.ofNanos((long) (pauseMs * 1_000_000)));
      elapsedMs += pauseMs;
      double draw = random.nextDouble() * totalPerS;
      int priority =
          draw < callsPerS.get(0) ? 0 : draw < callsPerS.get(0) + callsPerS.get(1) ? 1 : 2;
      callsByPriority.merge(priority, 1, Integer::sum);
      PlacementUrgency urgency =
          hasHeadroom ? PlacementUrgency.of(priority, Set.of(0, 1, 2)) : PlacementUrgency.FULL;
      CallDemand demand = new CallDemand(promptTokens(), OUTPUT_TOKENS).withUrgency(urgency);
      daemons.get(random.nextInt(DAEMONS)).callOrWait(demand, priority);
    }
    time.advance(TIMEOUT);
  }

  /** Returns the share of the calls of a priority whose first event came in the given time. */
  double shareWithin(int priority, long limitMs) {
    long inTime =
        waitsMsByPriority.getOrDefault(priority, List.of()).stream()
            .filter(waitMs -> waitMs <= limitMs)
            .count();
    return (double) inTime / callsByPriority.get(priority);
  }

  /** Lets one call arrive at each daemon at the same moment. */
  void playAtOnce() {
    daemons.forEach(daemon -> daemon.call(new CallDemand(promptTokens(), OUTPUT_TOKENS)));
  }

  /** The prompts of the page: 200 shared tokens and about 8,000 of their own, up to 14,400. */
  private long promptTokens() {
    return 200 + Math.min(14_400, Math.round(8_000 * (0.6 + 0.8 * random.nextDouble())));
  }

  /** Forgets the waits of the calls so far, as those while nothing was measured yet. */
  void forgetWaits() {
    waitsMs.clear();
  }

  int callsAt(InstanceKey engine) {
    return engines.get(engine).calls;
  }

  double meanMs() {
    return waitsMs.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  double p95Ms() {
    List<Double> sorted = new ArrayList<>(waitsMs);
    Collections.sort(sorted);
    return sorted.get((int) (0.95 * sorted.size()));
  }

  private static final class Engine {
    private final double speedFactor;
    private long freeNanos;
    private int calls;

    Engine(double speedFactor) {
      this.speedFactor = speedFactor;
    }
  }

  private final class Daemon {
    private final String id;
    private final ServerUseTracker useTracker = new ServerUseTracker();
    private final InstanceDirectory directory =
        new InstanceDirectory(
            time, new PlatformReachability(time, is -> {}), Duration.ofSeconds(1), change -> {});
    private final ServerSpeeds speeds;
    private final RunTimes runTimes = new RunTimes();
    private final InstanceChooser chooser;
    private final RoomQueue roomQueue = new RoomQueue(time, time, random::nextDouble);

    Daemon(String id) {
      this.id = id;
      PeerBus bus = network.join(id);
      bus.onMessage(UseReport.class, useTracker::applyReport);
      useTracker.onChange(
          () ->
              time.schedule(
                  USE_DELAY, () -> useTracker.pollChangedReport().forEach(bus::broadcast)));
      speeds = new ServerSpeeds(bus, time, time);
      speeds.start();
      chooser =
          new InstanceChooser(
              "dc1",
              directory,
              server -> true,
              new ServerObservations(
                  useTracker,
                  speeds,
                  runTimes,
                  new InstanceHealth(time, Duration.ofSeconds(4)),
                  new RequestedPauses(time),
                  server -> false),
              random::nextDouble,
              PromptSavings.NONE,
              () -> true);
    }

    void call(CallDemand demand) {
      ServerInstance server =
          isPresentDecision
              ? chooser
                  .choose(SERVICE, demand, ServerConstraint.excluding(Set.of()))
                  .orElseThrow()
                  .instance()
              : previousChoice(demand);
      send(server, demand, waitsMs::add);
    }

    void callOrWait(CallDemand demand, int priority) {
      long startNanos = time.nanos();
      DoubleConsumer record =
          waitMs ->
              waitsMsByPriority.computeIfAbsent(priority, key -> new ArrayList<>()).add(waitMs);
      boolean isBehind = demand.urgency().isRestricted() && roomQueue.isAnyAhead("pool", priority);
      if (!isBehind && trySend(demand, startNanos, record)) {
        return;
      }
      List<RoomQueue.Ticket> ticket = new ArrayList<>();
      roomQueue
          .enter(
              new RoomQueue.Waiter(
                  "pool",
                  priority,
                  "",
                  startNanos + TIMEOUT.toNanos() / 2,
                  () -> {
                    boolean isSent = trySend(demand, startNanos, record);
                    if (isSent) {
                      ticket.forEach(RoomQueue.Ticket::start);
                    }
                    return isSent;
                  },
                  retryAfter -> {}))
          .ifPresent(ticket::add);
    }

    private boolean trySend(CallDemand demand, long startNanos, DoubleConsumer record) {
      Optional<InstanceChooser.Choice> choice =
          chooser.choose(SERVICE, demand, ServerConstraint.excluding(Set.of()));
      double waitedMs = (time.nanos() - startNanos) / 1e6;
      choice.ifPresent(
          found -> send(found.instance(), demand, waitMs -> record.accept(waitedMs + waitMs)));
      return choice.isPresent();
    }

    private void send(ServerInstance server, CallDemand demand, DoubleConsumer record) {
      ServerUse ahead = useTracker.total(server);
      ServerUseTracker.Reservation reservation =
          useTracker.reserve(
              server.key(), new ServerUse(1, demand.promptTokens(), demand.memoryTokens()));
      Engine engine = engines.get(server.key());
      engine.calls++;
      double readMs =
          demand.promptTokens() / (ServerSpeeds.NOMINAL_TOKENS_PER_MS * engine.speedFactor);
      engine.freeNanos = Math.max(engine.freeNanos, time.nanos()) + Math.round(readMs * 1_000_000);
      Duration wait = Duration.ofNanos(engine.freeNanos - time.nanos());
      time.schedule(
          wait,
          () -> {
            record.accept(wait.toNanos() / 1e6);
            reservation.markPromptProcessed();
            speeds.onFirstEvent(server.key(), ahead, demand.promptTokens(), wait);
            time.schedule(RUN, () -> end(reservation));
          });
    }

    private void end(ServerUseTracker.Reservation reservation) {
      reservation.release();
      runTimes.onStream("pool", OUTPUT_TOKENS, OUTPUT_TOKENS, RUN);
    }

    /** The decision before speeds were measured: unread tokens at nominal speed, and the jitter. */
    private ServerInstance previousChoice(CallDemand demand) {
      return directory.ready("pool").stream()
          .min(
              Comparator.comparingDouble(
                  server ->
                      previousWaitMs(useTracker.total(server), demand) + 2 * random.nextDouble()))
          .orElseThrow();
    }

    private double previousWaitMs(ServerUse use, CallDemand demand) {
      double excess = use.memoryTokens() + demand.memoryTokens() - 0.9 * 88_000;
      double waitMs = use.unreadTokens() / 8.0 + use.calls() * 10.0;
      return excess > 0 ? waitMs + 5_000 * (1 + excess / 88_000) : waitMs;
    }
  }
}
