package org.galenapost.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.hashing.Rendezvous;

/**
 * Chooses the better of two random servers, or the one that should hold the prompt's prefix where
 * that costs little, in this daemon's data centre unless a neighbour is clearly better.
 */
public final class TwoCandidateChoice implements ServerChoice {

  private static final int AFFINITY_RANKS = 3;
  private static final double SCORE_NOISE = 1.25;

  private final String dataCentre;
  private final DataCentreDistance distance;
  private final RoutingSettings settings;
  private final PrefixHints hints;
  private final RandomGenerator random;
  private final RoutingListener listener;
  private final AvailablePool availablePool;

  /**
   * Creates the choice.
   *
   * @param dataCentre the data centre of this daemon
   * @param distance how far other data centres are
   * @param settings the parameters
   * @param hints what is known of prefix caches
   * @param random the source of random candidates
   * @param listener hears of ejections and of neighbours used
   */
  public TwoCandidateChoice(
      String dataCentre,
      DataCentreDistance distance,
      RoutingSettings settings,
      PrefixHints hints,
      RandomGenerator random,
      RoutingListener listener) {
    this.dataCentre = dataCentre;
    this.distance = distance;
    this.settings = settings;
    this.hints = hints;
    this.random = random;
    this.listener = listener;
    this.availablePool = new AvailablePool(settings, random, listener);
  }

  @Override
  public Choice choose(RouteRequest request, List<ServerLoad> eligible, long nowNanos) {
    List<ServerLoad> pool = availablePool.select(request, eligible, nowNanos);
    PoolAverages view = PoolAverages.of(pool, settings, nowNanos);
    var byPlace = pool.stream().collect(Collectors.partitioningBy(load -> isLocal(load.server())));
    Optional<ScoredServer> local = best(request, byPlace.get(true), view);
    Optional<ScoredServer> neighbour = best(request, byPlace.get(false), view);
    ScoredServer chosen =
        availablePool
            .probeCandidate(eligible, nowNanos)
            .map(load -> score(load, view, 1, Reason.PROBE))
            .orElseGet(() -> localOrRemote(local, neighbour));
    if (!isLocal(chosen.load().server())) {
      listener.onRemoteDataCentreUsed(chosen.load().server().id());
    }
    return new Choice(chosen.load(), explain(chosen, pool.size(), eligible.size(), view));
  }

  private boolean isLocal(BackendServer server) {
    return server.dataCentre().equals(dataCentre);
  }

  private ScoredServer localOrRemote(Optional<ScoredServer> local, Optional<ScoredServer> neighbour) {
    if (local.isEmpty()) {
      return neighbour.orElseThrow();
    }
    return neighbour.filter(other -> isWorthRoundTrip(other, local.get())).orElse(local.get());
  }

  private boolean isWorthRoundTrip(ScoredServer neighbour, ScoredServer local) {
    String place = neighbour.load().server().dataCentre();
    double roundTripMillis = distance.roundTripMillis(dataCentre, place);
    double price = (neighbour.scoreMillis() + roundTripMillis) * settings.remoteFactor();
    return price < local.scoreMillis();
  }

  private Optional<ScoredServer> best(RouteRequest request, List<ServerLoad> pool, PoolAverages view) {
    if (pool.isEmpty()) {
      return Optional.empty();
    }
    List<ScoredServer> candidates = new ArrayList<>();
    candidates.add(betterOfTwo(pool, view));
    request.prefixDigest().ifPresent(digest -> addAffinityCandidates(candidates, digest, pool, view));
    return candidates.stream().min(Comparator.comparingDouble(ScoredServer::scoreMillis));
  }

  /** Scores that differ by less than the noise of the estimate leave the choice to chance. */
  private ScoredServer betterOfTwo(List<ServerLoad> pool, PoolAverages view) {
    int firstIndex = random.nextInt(pool.size());
    ScoredServer first = score(pool.get(firstIndex), view, 1, Reason.RANDOM);
    if (pool.size() == 1) {
      return first;
    }
    int step = 1 + random.nextInt(pool.size() - 1);
    ServerLoad other = pool.get((firstIndex + step) % pool.size());
    ScoredServer second = score(other, view, 1, Reason.RANDOM);
    return second.scoreMillis() * SCORE_NOISE < first.scoreMillis() ? second : first;
  }

  private void addAffinityCandidates(
      List<ScoredServer> candidates, String digest, List<ServerLoad> pool, PoolAverages view) {
    pool.stream()
        .filter(load -> hints.isHeld(load.server().id(), digest))
        .filter(load -> view.isWithinBound(load, settings.boundedLoad()))
        .map(load -> score(load, view, settings.hintDiscount(), Reason.PREFIX_HELD))
        .forEach(candidates::add);
    Rendezvous.rank(digest, pool, load -> load.server().id()).stream()
        .limit(AFFINITY_RANKS)
        .filter(load -> view.isWithinBound(load, settings.boundedLoad()))
        .findFirst()
        .map(load -> score(load, view, settings.affinityDiscount(), Reason.PREFIX_OWNER))
        .ifPresent(candidates::add);
  }

  private static ScoredServer score(ServerLoad load, PoolAverages view, double factor, Reason reason) {
    return new ScoredServer(load, view.scoreMillis(load) * factor, reason);
  }

  private static String explain(ScoredServer chosen, int available, int eligible, PoolAverages view) {
    return String.format(
        Locale.ROOT,
        "server=%s reason=%s score_ms=%.1f in_flight=%d outstanding=%.1f available=%d eligible=%d",
        chosen.load().server().id(),
        chosen.reason().wireName,
        chosen.scoreMillis(),
        chosen.load().inFlight(),
        chosen.load().outstanding(view.othersMean(), view.nowNanos()),
        available,
        eligible);
  }

  private enum Reason {
    RANDOM("better-of-two"),
    PREFIX_HELD("prefix-held"),
    PREFIX_OWNER("prefix-owner"),
    PROBE("probe");

    private final String wireName;

    Reason(String wireName) {
      this.wireName = wireName;
    }
  }

  private record ScoredServer(ServerLoad load, double scoreMillis, Reason reason) {}
}
