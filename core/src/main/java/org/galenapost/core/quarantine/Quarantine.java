package org.galenapost.core.quarantine;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Identifies requests that crash servers, without refusing requests that only ran on the same
 * server.
 *
 * <p>The loss of a server counts against every request that ran on it: with weight 2 if the request
 * had not yet produced a token there (an early loss), otherwise with weight 1 (a late loss). A
 * request with an early loss, or with two losses, is isolated from other suspects until it has
 * passed the offset of the loss, so that a further loss identifies its cause. A loss is decisive if
 * the request was the only suspect on the lost server. A request is refused when its losses have a
 * total weight of at least 4, for example two early or four late losses, and at least one of them
 * is decisive. A simultaneous loss of many servers counts against no request. Daemons share their
 * suspicions. The number of suspicions is bounded, and they expire. Safe for use by several
 * threads.
 */
public final class Quarantine implements RequestGuard {

  /** The tokens that a suspect must produce past the offset of a loss to leave isolation. */
  public static final int PROOF_TOKENS = 16;

  private static final int MAX_REQUESTS = 10_000;
  private static final Duration SUSPICION_TTL = Duration.ofHours(1);

  private final PeerBus peers;
  private final InstantSource clock;
  private final Cache<RequestDigest, SuspicionUpdate> suspicions;
  private final Predicate<String> isExplainedLoss;
  private final IsolationClaims claims;
  private final MassLossWindow recentLosses;

  /**
   * Creates an empty quarantine.
   *
   * @param peers the other daemons
   * @param clock the time of day
   * @param monotonicClock elapsed time
   */
  public Quarantine(PeerBus peers, InstantSource clock, MonotonicClock monotonicClock) {
    this(peers, clock, monotonicClock, serverId -> false);
  }

  /**
   * Creates an empty quarantine that leaves out losses with a known cause.
   *
   * @param peers the other daemons
   * @param clock the time of day
   * @param monotonicClock elapsed time
   * @param isExplainedLoss returns whether the loss of a server has a cause other than the requests
   *     that ran there
   */
  public Quarantine(
      PeerBus peers,
      InstantSource clock,
      MonotonicClock monotonicClock,
      Predicate<String> isExplainedLoss) {
    this.isExplainedLoss = Objects.requireNonNull(isExplainedLoss, "isExplainedLoss");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.claims = new IsolationClaims(monotonicClock);
    this.recentLosses = new MassLossWindow(monotonicClock);
    this.suspicions =
        Caffeine.newBuilder()
            .maximumSize(MAX_REQUESTS)
            .expireAfterWrite(SUSPICION_TTL)
            .ticker(monotonicClock::nanos)
            .executor(Runnable::run)
            .build();
  }

  /** Starts to receive messages of other daemons and requests their suspicions. */
  public void start() {
    peers.onMessage(SuspicionUpdate.class, (sender, update) -> merge(update));
    peers.onMessage(IsolationClaim.class, (sender, claim) -> merge(claim));
    peers.onMessage(SuspicionQuery.class, (sender, query) -> sendSuspicionsTo(sender));
    queryPeers();
  }

  /** Requests the suspicions of the other daemons. */
  public void queryPeers() {
    peers.broadcast(new SuspicionQuery());
  }

  @Override
  public synchronized Placement place(RequestDigest digest) {
    SuspicionUpdate suspicion = current(digest).withoutServers(isExplainedLoss);
    if (!suspicion.needsIsolation()) {
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
   * <p>The claim on the lost server is not released but expires, so that the loss is not decisive
   * for a second suspect on the same server that is reported later.
   */
  @Override
  public synchronized void onServerLost(
      String serverId, RequestDigest digest, int offset, boolean isEarly) {
    boolean isDecisive =
        claims.isHeldBy(serverId, digest) && !claims.isHeldByOther(serverId, digest);
    ServerLoss loss = new ServerLoss(serverId, clock.millis(), offset, isEarly, isDecisive);
    if (recentLosses.add(digest, loss)) {
      retractMassLoss();
    } else {
      storeAndBroadcast(current(digest).with(loss));
    }
  }

  private void retractMassLoss() {
    Map<RequestDigest, List<ServerLoss>> attributedLosses = recentLosses.takeAttributedLosses();
    attributedLosses.forEach(
        (digest, losses) -> {
          SuspicionUpdate suspicion = suspicions.getIfPresent(digest);
          if (suspicion != null && suspicion.isSuspect()) {
            storeAndBroadcast(suspicion.without(losses));
          }
        });
  }

  @Override
  public synchronized void onSuccess(RequestDigest digest) {
    SuspicionUpdate suspicion = suspicions.getIfPresent(digest);
    if (suspicion != null && suspicion.isSuspect()) {
      storeAndBroadcast(suspicion.cleared());
    }
  }

  private SuspicionUpdate current(RequestDigest digest) {
    SuspicionUpdate suspicion = suspicions.getIfPresent(digest);
    return suspicion == null ? SuspicionUpdate.none(digest) : suspicion;
  }

  /** Stores an update, and broadcasts it if it changes the placement of the request. */
  private void storeAndBroadcast(SuspicionUpdate update) {
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

  private void sendSuspicionsTo(String daemonId) {
    suspicions.asMap().values().stream()
        .filter(SuspicionUpdate::needsIsolation)
        .forEach(update -> peers.send(daemonId, update));
  }

  /** Returns the number of requests that are currently suspect or refused. */
  public long suspectCount() {
    return suspicions.asMap().values().stream().filter(SuspicionUpdate::isSuspect).count();
  }
}
