package org.galenapost.core.directory;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/**
 * Finds a generation that already runs, whichever daemon started it.
 *
 * <p>Each key is owned by one of the live daemons. While the set of live daemons has changed a
 * moment ago, daemons may disagree on the owner: a query that the owner cannot answer then goes to
 * every live daemon, and entries move to their new owner. Daemons that do not know each other at
 * all find nothing, which is safe. Safe for use by several threads.
 */
public final class GenerationDirectory implements RunningGenerations {

  /** A daemon that has just started may take several hundred ms for its first answer. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

  private static final Duration MEMBERSHIP_CHECK_PERIOD = Duration.ofMillis(250);

  /** Several heartbeat periods, after which live daemons agree on the members. */
  private static final Duration MEMBERSHIP_SETTLING_TIME = Duration.ofSeconds(10);

  private static final Duration ENTRY_RETENTION = Duration.ofMinutes(30);
  private static final int MAX_ENTRIES = 100_000;

  private final String selfId;
  private final PeerBus peers;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Cache<DirectoryKey, DirectoryEntry> entries;
  private final Cache<DirectoryKey, DirectoryEntry> ownEntries;
  private final Map<Long, PendingQuery> queries = new ConcurrentHashMap<>();
  private final AtomicLong lastQueryId = new AtomicLong();
  private volatile Set<String> lastLiveIds = Set.of();
  private volatile long membershipChangedNanos;

  /**
   * Creates an empty directory.
   *
   * @param selfId the id of this daemon
   * @param peers the other daemons
   * @param scheduler runs the timeouts of queries and the checks of the members
   * @param clock elapsed time
   */
  public GenerationDirectory(
      String selfId, PeerBus peers, Scheduler scheduler, MonotonicClock clock) {
    this.selfId = Objects.requireNonNull(selfId, "selfId");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.entries = newCache();
    this.ownEntries = newCache();
    this.membershipChangedNanos = clock.nanos();
  }

  private Cache<DirectoryKey, DirectoryEntry> newCache() {
    return Caffeine.newBuilder()
        .maximumSize(MAX_ENTRIES)
        .expireAfterWrite(ENTRY_RETENTION)
        .ticker(clock::nanos)
        .executor(Runnable::run)
        .build();
  }

  /** Listens to the other daemons and follows which of them live. */
  public void start() {
    peers.onMessage(DirectoryPut.class, (sender, put) -> entries.put(put.key(), put.entry()));
    peers.onMessage(DirectoryQuery.class, this::answer);
    peers.onMessage(DirectoryAnswer.class, (sender, answer) -> complete(answer));
    lastLiveIds = peers.livePeerIds();
    scheduleMembershipCheck();
  }

  private void scheduleMembershipCheck() {
    scheduler.schedule(
        MEMBERSHIP_CHECK_PERIOD,
        () -> {
          checkMembership();
          scheduleMembershipCheck();
        });
  }

  private void checkMembership() {
    Set<String> liveIds = peers.livePeerIds();
    if (liveIds.equals(lastLiveIds)) {
      return;
    }
    Set<String> before = lastLiveIds;
    lastLiveIds = Set.copyOf(liveIds);
    membershipChangedNanos = clock.nanos();
    ownEntries
        .asMap()
        .forEach(
            (key, entry) -> {
              if (!owner(key, before).equals(owner(key, lastLiveIds))) {
                publish(key, entry);
              }
            });
  }

  /** {@inheritDoc} Kept here as well as at the owner of the key. */
  @Override
  public void publish(DirectoryKey key, DirectoryEntry entry) {
    entries.put(key, entry);
    ownEntries.put(key, entry);
    String owner = owner(key, peers.livePeerIds());
    if (!owner.equals(selfId)) {
      peers.send(owner, new DirectoryPut(key, entry));
    }
  }

  @Override
  public CompletionStage<Optional<DirectoryEntry>> find(DirectoryKey key) {
    DirectoryEntry known = entries.getIfPresent(key);
    if (known != null) {
      return CompletableFuture.completedFuture(Optional.of(known));
    }
    Set<String> liveIds = peers.livePeerIds();
    boolean isSettled = clock.since(membershipChangedNanos).compareTo(MEMBERSHIP_SETTLING_TIME) > 0;
    String owner = owner(key, liveIds);
    Set<String> askedIds = isSettled ? Set.of(owner) : liveIds;
    return askedIds.isEmpty() || askedIds.equals(Set.of(selfId))
        ? CompletableFuture.completedFuture(Optional.empty())
        : query(askedIds, key);
  }

  private CompletionStage<Optional<DirectoryEntry>> query(Set<String> daemonIds, DirectoryKey key) {
    long queryId = lastQueryId.incrementAndGet();
    PendingQuery query = new PendingQuery(daemonIds.size());
    queries.put(queryId, query);
    Scheduler.Cancellable timeout =
        scheduler.schedule(ANSWER_TIMEOUT, () -> query.answer.complete(Optional.empty()));
    daemonIds.forEach(id -> peers.send(id, new DirectoryQuery(queryId, key)));
    return query.answer.whenComplete(
        (entry, error) -> {
          queries.remove(queryId);
          timeout.cancel();
        });
  }

  private void answer(String sender, DirectoryQuery query) {
    Optional<DirectoryEntry> entry = Optional.ofNullable(entries.getIfPresent(query.key()));
    peers.send(sender, new DirectoryAnswer(query.queryId(), entry));
  }

  private void complete(DirectoryAnswer answer) {
    PendingQuery query = queries.get(answer.queryId());
    if (query != null) {
      query.recordAnswer(answer.entry());
    }
  }

  private String owner(DirectoryKey key, Set<String> liveIds) {
    String text = key.workspace() + "\n" + key.generationId();
    return Rendezvous.choose(text, selfId, liveIds);
  }

  /** Ends with the first entry found, or empty once every daemon asked has answered. */
  private static final class PendingQuery {

    private final CompletableFuture<Optional<DirectoryEntry>> answer = new CompletableFuture<>();
    private final AtomicInteger missingAnswers;

    PendingQuery(int askedDaemons) {
      missingAnswers = new AtomicInteger(askedDaemons);
    }

    void recordAnswer(Optional<DirectoryEntry> entry) {
      if (entry.isPresent() || missingAnswers.decrementAndGet() == 0) {
        answer.complete(entry);
      }
    }
  }
}
