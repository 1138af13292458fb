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
 * Chooses the better of two random servers, or a server that probably has the prompt's prefix
 * cached if its discounted score is better. Prefers this daemon's data centre unless a server in
 * another one is clearly better.
 */
public final class TwoCandidateChoice implements ServerChoice {

  private static final int AFFINITY_RANKS = 3;
  private static final double SCORE_NOISE_FACTOR = 1.25;

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
   * @param distance the distances between data centres
   * @param settings the parameters
   * @param hints the prefixes that servers probably have cached
   * @param random the source of random candidates
   * @param listener is notified of the available floor and of remote servers used
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
    PoolAverages averages = PoolAverages.of(pool, settings, nowNanos);
    var byLocality =
        pool.stream().collect(Collectors.partitioningBy(load -> isLocal(load.server())));
    Optional<ScoredServer> local = best(request, byLocality.get(true), averages);
    Optional<ScoredServer> remote = best(request, byLocality.get(false), averages);
    ScoredServer chosen =
        availablePool
            .probeCandidate(eligible, nowNanos)
            .map(load -> score(load, averages, 1, Reason.PROBE))
            .orElseGet(() -> localOrRemote(local, remote));
    if (!isLocal(chosen.load().server())) {
      listener.onRemoteDataCentreUsed(chosen.load().server().id());
    }
    return new Choice(chosen.load(), explain(chosen, pool.size(), eligible.size(), averages));
  }

  private boolean isLocal(BackendServer server) {
    return server.dataCentre().equals(dataCentre);
  }

  private ScoredServer localOrRemote(Optional<ScoredServer> local, Optional<ScoredServer> remote) {
    if (local.isEmpty()) {
      return remote.orElseThrow();
    }
    return remote.filter(other -> isWorthRoundTrip(other, local.get())).orElse(local.get());
  }

  private boolean isWorthRoundTrip(ScoredServer remote, ScoredServer local) {
    String remoteDataCentre = remote.load().server().dataCentre();
    double roundTripMillis = distance.roundTripMillis(dataCentre, remoteDataCentre);
    double remoteScoreMillis = (remote.scoreMillis() + roundTripMillis) * settings.remoteFactor();
    return remoteScoreMillis < local.scoreMillis();
  }

  private Optional<ScoredServer> best(
      RouteRequest request, List<ServerLoad> pool, PoolAverages averages) {
    if (pool.isEmpty()) {
      return Optional.empty();
    }
    List<ScoredServer> candidates = new ArrayList<>();
    candidates.add(betterOfTwo(pool, averages));
    request
        .prefixDigest()
        .ifPresent(digest -> addAffinityCandidates(candidates, digest, pool, averages));
    return candidates.stream().min(Comparator.comparingDouble(ScoredServer::scoreMillis));
  }

  /** Keeps the first random server if the scores differ by less than the noise of the estimate. */
  private ScoredServer betterOfTwo(List<ServerLoad> pool, PoolAverages averages) {
    int firstIndex = random.nextInt(pool.size());
    ScoredServer first = score(pool.get(firstIndex), averages, 1, Reason.RANDOM);
    if (pool.size() == 1) {
      return first;
    }
    int step = 1 + random.nextInt(pool.size() - 1);
    ServerLoad other = pool.get((firstIndex + step) % pool.size());
    ScoredServer second = score(other, averages, 1, Reason.RANDOM);
    return second.scoreMillis() * SCORE_NOISE_FACTOR < first.scoreMillis() ? second : first;
  }

  private void addAffinityCandidates(
      List<ScoredServer> candidates, String digest, List<ServerLoad> pool, PoolAverages averages) {
    pool.stream()
        .filter(load -> hints.isHeld(load.server().id(), digest))
        .filter(load -> averages.isWithinBound(load, settings.boundedLoad()))
        .map(load -> score(load, averages, settings.hintDiscount(), Reason.PREFIX_HELD))
        .forEach(candidates::add);
    Rendezvous.rank(digest, pool, load -> load.server().id()).stream()
        .limit(AFFINITY_RANKS)
        .filter(load -> averages.isWithinBound(load, settings.boundedLoad()))
        .findFirst()
        .map(load -> score(load, averages, settings.affinityDiscount(), Reason.PREFIX_OWNER))
        .ifPresent(candidates::add);
  }

  private static ScoredServer score(
      ServerLoad load, PoolAverages averages, double factor, Reason reason) {
    return new ScoredServer(load, averages.scoreMillis(load) * factor, reason);
  }

  private static String explain(
      ScoredServer chosen, int available, int eligible, PoolAverages averages) {
    return String.format(
        Locale.ROOT,
        "server=%s reason=%s score_ms=%.1f in_flight=%d outstanding=%.1f available=%d eligible=%d",
        chosen.load().server().id(),
        chosen.reason().wireName,
        chosen.scoreMillis(),
        chosen.load().inFlight(),
        chosen.load().outstanding(averages.othersMean(), averages.nowNanos()),
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
