package org.galenapost.daemon.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.routing.FleetRouter;
import org.galenapost.core.routing.Placements;
import org.galenapost.core.routing.PrefixHints;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.service.Service;

/**
 * Polls the subset's engines for load, cache events and loaded models. The rate is bounded however
 * many engines there are: reports then grow older instead of control growing dearer.
 */
public final class EnginePoller implements Service {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final double TICK_JITTER_FRACTION = 0.2;
  private static final int TICKS_PER_CACHE_POLL = 5;
  private static final int TICKS_PER_STATE_POLL = 5;
  private static final Duration LOAD_INTERVAL = Duration.ofSeconds(1);
  private static final Duration CACHE_INTERVAL = Duration.ofSeconds(2);
  private static final Duration STATE_INTERVAL = Duration.ofSeconds(3);

  private final FleetRouter router;
  private final PrefixHints hints;
  private final Placements placements;
  private final EnginePollClient client;
  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final PollRotation loadRotation = new PollRotation(LOAD_INTERVAL);
  private final PollRotation cacheRotation = new PollRotation(CACHE_INTERVAL);
  private final PollRotation stateRotation = new PollRotation(STATE_INTERVAL);
  private Scheduler.Cancellable nextTick = () -> {};
  private boolean isRunning;
  private long tickCount;

  /**
   * Creates a poller.
   *
   * @param router gets load reports
   * @param hints gets cache events
   * @param placements gets loaded models
   * @param clients the HTTP clients
   * @param clock the clock
   * @param scheduler runs the polls
   * @param random spreads the polls of daemons that started together
   */
  public EnginePoller(
      FleetRouter router,
      PrefixHints hints,
      Placements placements,
      HttpClients clients,
      MonotonicClock clock,
      Scheduler scheduler,
      RandomGenerator random) {
    this.router = router;
    this.hints = hints;
    this.placements = placements;
    this.client = new EnginePollClient(clients);
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
  }

  @Override
  public String name() {
    return "engine-poller";
  }

  @Override
  public synchronized void start() {
    isRunning = true;
    scheduleNext();
  }

  @Override
  public synchronized void stop() {
    isRunning = false;
    nextTick.cancel();
  }

  /** Replaces the servers; only engines are polled. */
  public void onServers(List<BackendServer> servers) {
    List<BackendServer> engines =
        servers.stream().filter(server -> server.kind() == ServerKind.ENGINE).toList();
    loadRotation.setEngines(engines);
    cacheRotation.setEngines(engines);
    stateRotation.setEngines(engines);
  }

  private void scheduleNext() {
    double factor = 1 - TICK_JITTER_FRACTION + 2 * TICK_JITTER_FRACTION * random.nextDouble();
    nextTick = scheduler.schedule(Duration.ofNanos((long) (TICK_INTERVAL.toNanos() * factor)), this::tick);
  }

  private synchronized void tick() {
    if (!isRunning) {
      return;
    }
    tickCount++;
    pollLoad();
    if (tickCount % TICKS_PER_CACHE_POLL == 0) {
      pollCacheEvents();
    }
    if (tickCount % TICKS_PER_STATE_POLL == 1) {
      pollState();
    }
    scheduleNext();
  }

  private void pollLoad() {
    loadRotation
        .nextDue(clock.nanos())
        .ifPresent(
            engine ->
                client.poll(
                    engine,
                    "/v1/load",
                    EngineDocuments.Load.class,
                    answer -> onLoad(engine.id(), answer)));
  }

  private void onLoad(String engineId, Optional<EngineDocuments.Load> answer) {
    loadRotation.markAnswered(engineId);
    answer.ifPresent(load -> router.onLoadReport(engineId, load.toReport()));
  }

  private void pollCacheEvents() {
    cacheRotation
        .nextDue(clock.nanos())
        .ifPresent(
            engine ->
                client.poll(
                    engine,
                    "/v1/cache-events?since=" + hints.lastSequence(engine.id()),
                    EngineDocuments.CacheEvents.class,
                    answer -> onCacheEvents(engine.id(), answer)));
  }

  private void onCacheEvents(String engineId, Optional<EngineDocuments.CacheEvents> answer) {
    cacheRotation.markAnswered(engineId);
    answer.ifPresent(
        page -> page.events().forEach(event -> hints.onEvent(engineId, event.toEvent())));
  }

  private void pollState() {
    stateRotation
        .nextDue(clock.nanos())
        .ifPresent(
            engine ->
                client.poll(
                    engine,
                    "/v1/state",
                    EngineDocuments.State.class,
                    answer -> onState(engine.id(), answer)));
  }

  private void onState(String engineId, Optional<EngineDocuments.State> answer) {
    stateRotation.markAnswered(engineId);
    answer.ifPresent(state -> placements.onState(engineId, state.toLoadedModels()));
  }
}
