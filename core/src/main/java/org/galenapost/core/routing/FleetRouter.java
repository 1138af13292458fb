package org.galenapost.core.routing;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Routes requests over the servers of this daemon's subset: keeps count of what is in flight,
 * leaves out servers that may not take the request, and asks a {@link ServerChoice} for one of the
 * rest. Safe for use by several threads.
 */
public final class FleetRouter implements Router {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final MonotonicClock clock;
  private final RoutingSettings settings;
  private final ServerChoice choice;
  private final Placements placements;
  private final PrefixHints hints;
  private final RandomGenerator random;
  private final RoutingListener listener;
  private final Map<String, ServerLoad> loads = new HashMap<>();

  /**
   * Creates a router without servers.
   *
   * @param clock the clock
   * @param settings the parameters of the load estimate
   * @param choice chooses among eligible servers
   * @param placements what engines have loaded
   * @param hints is told which prefixes a server has worked on
   * @param random spreads ejection times
   * @param listener hears of ejections
   */
  public FleetRouter(
      MonotonicClock clock,
      RoutingSettings settings,
      ServerChoice choice,
      Placements placements,
      PrefixHints hints,
      RandomGenerator random,
      RoutingListener listener) {
    this.clock = clock;
    this.settings = settings;
    this.choice = choice;
    this.placements = placements;
    this.hints = hints;
    this.random = random;
    this.listener = listener;
  }

  /** Replaces the servers; what is known of those that stay is kept. */
  public synchronized void onServers(Collection<BackendServer> servers) {
    Set<String> gone = new HashSet<>(loads.keySet());
    for (BackendServer server : servers) {
      gone.remove(server.id());
      loads
          .computeIfAbsent(server.id(), id -> new ServerLoad(server, settings, random))
          .update(server);
    }
    gone.forEach(this::remove);
  }

  /** Takes in a load report; one of a server outside the subset is ignored. */
  public synchronized void onLoadReport(String serverId, LoadReport report) {
    Optional.ofNullable(loads.get(serverId))
        .ifPresent(load -> load.reported(report, clock.nanos()));
  }

  /** Returns the servers of the subset. */
  public synchronized List<BackendServer> servers() {
    return loads.values().stream().map(ServerLoad::server).toList();
  }

  /** Returns the requests in flight on a server. */
  public synchronized int inFlight(String serverId) {
    return Optional.ofNullable(loads.get(serverId)).map(ServerLoad::inFlight).orElse(0);
  }

  @Override
  public synchronized Either<Refusal, Route> route(RouteRequest request) {
    List<ServerLoad> eligible =
        loads.values().stream().filter(load -> isEligible(load, request)).toList();
    if (eligible.isEmpty()) {
      return Either.left(refusal(request));
    }
    long nowNanos = clock.nanos();
    ServerChoice.Choice chosen = choice.choose(request, eligible, nowNanos);
    chosen.server().started(nowNanos);
    return Either.right(new TrackedRoute(chosen, request.prefixDigest(), nowNanos));
  }

  private void remove(String serverId) {
    loads.remove(serverId);
    hints.invalidate(serverId);
    placements.remove(serverId);
  }

  private boolean isEligible(ServerLoad load, RouteRequest request) {
    BackendServer server = load.server();
    return server.state() == ServerState.LIVE
        && !request.excludedServerIds().contains(server.id())
        && placements.canServe(server, request);
  }

  private Refusal refusal(RouteRequest request) {
    boolean isKnown =
        loads.values().stream()
            .anyMatch(
                load ->
                    Placements.isAssigned(load.server(), request.target(), request.isService()));
    if (!isKnown) {
      RefusalReason reason =
          request.isService() ? RefusalReason.UNKNOWN_SERVICE : RefusalReason.UNKNOWN_MODEL;
      return Refusal.notRun(reason, "no server is assigned to " + request.target());
    }
    return Refusal.notRun(
            RefusalReason.NO_SERVER, "no server of " + request.target() + " may take the request")
        .withRetryAfter(RETRY_AFTER);
  }

  private final class TrackedRoute implements Route {

    private final ServerLoad load;
    private final BackendServer server;
    private final String explanation;
    private final Optional<String> prefixDigest;
    private final long startedNanos;
    private boolean isAnswered;
    private boolean isEnded;

    TrackedRoute(ServerChoice.Choice chosen, Optional<String> prefixDigest, long startedNanos) {
      this.load = chosen.server();
      this.server = load.server();
      this.explanation = chosen.explanation();
      this.prefixDigest = prefixDigest;
      this.startedNanos = startedNanos;
    }

    @Override
    public BackendServer server() {
      return server;
    }

    @Override
    public String explanation() {
      return explanation;
    }

    @Override
    public void recordFirstAnswer(Duration latency) {
      synchronized (FleetRouter.this) {
        if (isEnded || isAnswered) {
          return;
        }
        isAnswered = true;
        load.answered(startedNanos, latency, clock.nanos());
        prefixDigest.ifPresent(digest -> hints.onServed(server.id(), digest));
      }
    }

    @Override
    public void succeeded() {
      synchronized (FleetRouter.this) {
        if (end()) {
          load.succeeded(clock.nanos());
        }
      }
    }

    @Override
    public void failed() {
      synchronized (FleetRouter.this) {
        if (end() && load.failed(clock.nanos())) {
          hints.invalidate(server.id());
          listener.onEjected(server.id());
        }
      }
    }

    @Override
    public void cancelled() {
      synchronized (FleetRouter.this) {
        end();
      }
    }

    private boolean end() {
      if (isEnded) {
        return false;
      }
      isEnded = true;
      load.ended();
      if (!isAnswered) {
        load.unansweredEnded(startedNanos);
      }
      return true;
    }
  }
}
