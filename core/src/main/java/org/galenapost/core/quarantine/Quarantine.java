package org.galenapost.core.quarantine;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Finds the request that crashes servers without refusing those that merely ran beside it.
 *
 * <p>A death speaks against every request on the server, twice as much against one that had brought
 * no token. Such a request, and one that saw two deaths, runs apart from other suspects until it
 * has passed the offset of the death, so that the next death names its cause. A request is refused
 * after two deaths before its first token or three in all, the last as the only suspect on its
 * server. Deaths of many servers at once are held against no request. Daemons tell each other what
 * they hold; the memory is bounded and lapses. Safe for use by several threads.
 */
public final class Quarantine implements RequestGuard {

  /** How far past the offset of a death a suspect must come to be no longer isolated. */
  public static final int PROOF_TOKENS = 16;

  private static final int MAX_REQUESTS = 10_000;
  private static final Duration MEMORY = Duration.ofHours(1);

  private final PeerBus peers;
  private final InstantSource clock;
  private final Cache<RequestDigest, SuspicionUpdate> suspicions;
  private final IsolationClaims claims;
  private final MassLossWindow recentDeaths;

  /**
   * Creates an empty quarantine.
   *
   * @param peers the other daemons
   * @param clock the time of day
   * @param monotonicClock elapsed time
   */
  public Quarantine(PeerBus peers, InstantSource clock, MonotonicClock monotonicClock) {
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.claims = new IsolationClaims(monotonicClock);
    this.recentDeaths = new MassLossWindow(monotonicClock);
    this.suspicions =
        Caffeine.newBuilder()
            .maximumSize(MAX_REQUESTS)
            .expireAfterWrite(MEMORY)
            .ticker(monotonicClock::nanos)
            .executor(Runnable::run)
            .build();
  }

  /** Listens to the other daemons and asks them what they hold. */
  public void start() {
    peers.onMessage(SuspicionUpdate.class, (sender, update) -> merge(update));
    peers.onMessage(IsolationClaim.class, (sender, claim) -> merge(claim));
    peers.onMessage(SuspicionQuery.class, (sender, query) -> answer(sender));
    queryPeers();
  }

  /** Asks the other daemons what they hold. */
  public void queryPeers() {
    peers.broadcast(new SuspicionQuery());
  }

  @Override
  public synchronized Placement place(RequestDigest digest) {
    SuspicionUpdate suspicion = suspicions.getIfPresent(digest);
    if (suspicion == null || !suspicion.needsIsolation()) {
      return new Placement.Anywhere();
    }
    if (suspicion.isRefused()) {
      return new Placement.Refused(refusal(suspicion));
    }
    int provenFromOffset = suspicion.maxLossOffset() + PROOF_TOKENS;
    return new Placement.Isolated(claims.serversOfOthers(digest), provenFromOffset);
  }

  private static Refusal refusal(SuspicionUpdate suspicion) {
    return Refusal.notRun(
        RefusalReason.QUARANTINED,
        "this request ended " + suspicion.deaths().size() + " backend servers; it runs no more");
  }

  @Override
  public synchronized boolean claim(String serverId, RequestDigest digest) {
    claims.add(serverId, digest);
    peers.broadcast(new IsolationClaim(serverId, digest, true));
    return !claims.isHeldByOther(serverId, digest);
  }

  @Override
  public synchronized void release(String serverId, RequestDigest digest) {
    if (claims.isHeldBy(serverId, digest)) {
      claims.remove(serverId, digest);
      peers.broadcast(new IsolationClaim(serverId, digest, false));
    }
  }

  /**
   * {@inheritDoc}
   *
   * <p>The claim on the dead server is left to lapse, so that the death is not decisive for a
   * second suspect whose notice comes later.
   */
  @Override
  public synchronized void onServerLost(
      String serverId, RequestDigest digest, int offset, boolean isEarly) {
    boolean isDecisive =
        claims.isHeldBy(serverId, digest) && !claims.isHeldByOther(serverId, digest);
    ServerLoss death = new ServerLoss(serverId, clock.millis(), offset, isEarly, isDecisive);
    if (recentDeaths.add(digest, death)) {
      retractMassLoss();
    } else {
      share(current(digest).with(death));
    }
  }

  private void retractMassLoss() {
    Map<RequestDigest, List<ServerLoss>> charges = recentDeaths.takeAttributedLosses();
    charges.forEach(
        (digest, deaths) -> {
          SuspicionUpdate held = suspicions.getIfPresent(digest);
          if (held != null && held.isSuspect()) {
            share(held.without(deaths));
          }
        });
  }

  @Override
  public synchronized void onSuccess(RequestDigest digest) {
    SuspicionUpdate held = suspicions.getIfPresent(digest);
    if (held != null && held.isSuspect()) {
      share(held.cleared());
    }
  }

  private SuspicionUpdate current(RequestDigest digest) {
    SuspicionUpdate held = suspicions.getIfPresent(digest);
    return held == null ? SuspicionUpdate.none(digest) : held;
  }

  /** Keeps an update; tells the other daemons if it changes where the request may run. */
  private void share(SuspicionUpdate update) {
    boolean wasIsolated = current(update.digest()).needsIsolation();
    suspicions.put(update.digest(), update);
    if (wasIsolated || update.needsIsolation()) {
      peers.broadcast(update);
    }
  }

  synchronized void merge(SuspicionUpdate update) {
    suspicions.put(update.digest(), current(update.digest()).merge(update));
  }

  synchronized void merge(IsolationClaim claim) {
    if (claim.isHeld()) {
      claims.add(claim.serverId(), claim.digest());
    } else {
      claims.remove(claim.serverId(), claim.digest());
    }
  }

  private void answer(String daemonId) {
    suspicions.asMap().values().stream()
        .filter(SuspicionUpdate::needsIsolation)
        .forEach(update -> peers.send(daemonId, update));
  }

  /** Returns how many requests are suspect or refused at the moment. */
  public long suspectCount() {
    return suspicions.asMap().values().stream().filter(SuspicionUpdate::isSuspect).count();
  }
}
