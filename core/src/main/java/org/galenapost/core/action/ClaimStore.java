package org.galenapost.core.action;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Groups operations on claims into few writes: all operations that wait for a bucket share its next
 * write, and only a bounded number of buckets is written at a time, so that groups grow while the
 * platform is slow.
 */
public final class ClaimStore {

  private static final int MAX_WAITING_CLAIMS = 20_000;
  private static final int MAX_WAITING_OUTCOMES = 50_000;
  private static final int MAX_CACHED_BYTES_PER_BUCKET = 32_000;
  private static final Duration OUTCOME_RETRY = Duration.ofSeconds(1);
  private static final Duration OUTCOME_LIMIT = Duration.ofMinutes(10);

  private final ClaimContext context;
  private final ClaimOptions options;
  private final Map<Integer, Deque<PendingOperation>> waiting = new HashMap<>();
  private final Map<Integer, VersionedBucket> cache = new HashMap<>();
  private final Set<Integer> readyBuckets = new LinkedHashSet<>();
  private final Set<Integer> runningBuckets = new HashSet<>();
  private final Set<Integer> retryingBuckets = new HashSet<>();
  private int waitingCount;

  /**
   * Creates a store of claims.
   *
   * @param store the platform's object API
   * @param scheduler runs retries
   * @param clock the monotonic clock
   * @param wallClock the time of day, for the age of claims
   * @param random spreads retries
   * @param isDaemonAlive says whether a daemon is believed to be alive
   * @param options how operations are grouped
   */
  public ClaimStore(
      ObjectStore store,
      Scheduler scheduler,
      MonotonicClock clock,
      InstantSource wallClock,
      RandomSource random,
      Predicate<String> isDaemonAlive,
      ClaimOptions options) {
    ExpiredShards shards = new ExpiredShards(store);
    this.context =
        new ClaimContext(
            store,
            scheduler,
            clock,
            wallClock,
            random,
            new ClaimRules(isDaemonAlive),
            shards,
            new ClaimCompactor(shards));
    this.options = Objects.requireNonNull(options, "options");
  }

  /**
   * Brings an operation into its bucket. A claim is answered within about two seconds; an outcome
   * is tried again for ten minutes.
   */
  public CompletionStage<ClaimResult> submit(ClaimOperation operation) {
    PendingOperation pending =
        new PendingOperation(operation, context.clock().nanos(), new CompletableFuture<>());
    if (!tryQueue(pending)) {
      return CompletableFuture.completedFuture(
          pending.hasWaitingCaller()
              ? new ClaimResult.Refused(ClaimRefusals.platformUnavailable("too many claims wait"))
              : new ClaimResult.Unresolved());
    }
    int bucketId = bucketOf(pending);
    if (pending.hasWaitingCaller()) {
      flushSoon(bucketId);
    } else {
      context.scheduler().schedule(options.outcomeLinger(), () -> flushSoon(bucketId));
    }
    return pending.result();
  }

  private synchronized boolean tryQueue(PendingOperation pending) {
    int limit = pending.hasWaitingCaller() ? MAX_WAITING_CLAIMS : MAX_WAITING_OUTCOMES;
    if (waitingCount >= limit) {
      return false;
    }
    waitingCount++;
    waiting.computeIfAbsent(bucketOf(pending), id -> new ArrayDeque<>()).add(pending);
    return true;
  }

  private void flushSoon(int bucketId) {
    synchronized (this) {
      readyBuckets.add(bucketId);
    }
    startFlushes();
  }

  private void startFlushes() {
    Optional<Runnable> flush = nextFlush();
    while (flush.isPresent()) {
      flush.get().run();
      flush = nextFlush();
    }
  }

  private synchronized Optional<Runnable> nextFlush() {
    if (runningBuckets.size() >= options.maxConcurrentFlushes()) {
      return Optional.empty();
    }
    Iterator<Integer> candidates = readyBuckets.iterator();
    while (candidates.hasNext()) {
      int bucketId = candidates.next();
      if (runningBuckets.contains(bucketId)) {
        continue;
      }
      candidates.remove();
      List<PendingOperation> batch = takeBatch(bucketId);
      if (!batch.isEmpty()) {
        runningBuckets.add(bucketId);
        Optional<VersionedBucket> cached = Optional.ofNullable(cache.get(bucketId));
        return Optional.of(() -> flush(bucketId, batch, cached));
      }
    }
    return Optional.empty();
  }

  private List<PendingOperation> takeBatch(int bucketId) {
    Deque<PendingOperation> queue = waiting.getOrDefault(bucketId, new ArrayDeque<>());
    List<PendingOperation> batch = new ArrayList<>();
    while (!queue.isEmpty() && batch.size() < options.maxBatch()) {
      batch.add(queue.poll());
    }
    if (queue.isEmpty()) {
      waiting.remove(bucketId);
    } else {
      readyBuckets.add(bucketId);
    }
    waitingCount -= batch.size();
    return batch;
  }

  private void flush(int bucketId, List<PendingOperation> batch, Optional<VersionedBucket> cached) {
    new BucketFlush(context, bucketId, batch)
        .run(cached)
        .thenAccept(outcome -> finish(bucketId, batch, outcome));
  }

  private void finish(int bucketId, List<PendingOperation> batch, BucketFlush.Outcome outcome) {
    synchronized (this) {
      runningBuckets.remove(bucketId);
      keep(bucketId, outcome.bucket());
    }
    for (int i = 0; i < batch.size(); i++) {
      finishOne(batch.get(i), outcome.results().get(i), outcome.error().isPresent());
    }
    startFlushes();
  }

  private void keep(int bucketId, Optional<VersionedBucket> bucket) {
    boolean isSmall =
        bucket.isPresent() && bucket.get().bucket().estimatedBytes() <= MAX_CACHED_BYTES_PER_BUCKET;
    if (isSmall) {
      cache.put(bucketId, bucket.get());
    } else {
      cache.remove(bucketId);
    }
  }

  private void finishOne(PendingOperation pending, ClaimResult result, boolean isFailed) {
    boolean isOld = context.clock().since(pending.submittedNanos()).compareTo(OUTCOME_LIMIT) > 0;
    if (!isFailed || pending.hasWaitingCaller() || isOld) {
      pending.result().complete(result);
      return;
    }
    if (tryQueue(pending)) {
      retryLater(bucketOf(pending));
    } else {
      pending.result().complete(new ClaimResult.Unresolved());
    }
  }

  /** Sets one timer per bucket, whatever the number of outcomes that wait for it. */
  private void retryLater(int bucketId) {
    synchronized (this) {
      if (!retryingBuckets.add(bucketId)) {
        return;
      }
    }
    context.scheduler().schedule(context.random().jitter(OUTCOME_RETRY), () -> retry(bucketId));
  }

  private void retry(int bucketId) {
    synchronized (this) {
      retryingBuckets.remove(bucketId);
    }
    flushSoon(bucketId);
  }

  private static int bucketOf(PendingOperation pending) {
    return ClaimLayout.bucketOf(pending.operation().workspace(), pending.operation().key());
  }
}
