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
 * Batches operations on claims. All operations pending for a bucket share its next write. The
 * number of concurrent writes is limited, so that batches grow while the platform is slow.
 */
public final class ClaimStore {

  private static final int MAX_PENDING_CLAIMS = 20_000;
  private static final int MAX_PENDING_OUTCOMES = 50_000;
  private static final int MAX_CACHED_BYTES_PER_BUCKET = 32_000;
  private static final Duration OUTCOME_RETRY_DELAY = Duration.ofSeconds(1);
  private static final Duration OUTCOME_TIME_LIMIT = Duration.ofMinutes(10);

  private final ClaimContext context;
  private final ClaimOptions options;
  private final Map<Integer, Deque<PendingOperation>> pendingByBucket = new HashMap<>();
  private final Map<Integer, VersionedBucket> cache = new HashMap<>();
  private final Set<Integer> readyBuckets = new LinkedHashSet<>();
  private final Set<Integer> runningBuckets = new HashSet<>();
  private final Set<Integer> retryingBuckets = new HashSet<>();
  private int pendingCount;

  /**
   * Creates a store of claims.
   *
   * @param store the platform's object API
   * @param scheduler runs retries
   * @param clock the monotonic clock
   * @param wallClock the wall clock, for the age of claims
   * @param random the source of the retry jitter
   * @param isDaemonAlive tests whether the daemon with the given id is considered alive
   * @param options how operations are batched
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
   * Applies an operation to its bucket. A claim completes within about two seconds; an outcome is
   * retried for up to ten minutes.
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
      requestFlush(bucketId);
    } else {
      context.scheduler().schedule(options.outcomeLinger(), () -> requestFlush(bucketId));
    }
    return pending.result();
  }

  private synchronized boolean tryQueue(PendingOperation pending) {
    int limit = pending.hasWaitingCaller() ? MAX_PENDING_CLAIMS : MAX_PENDING_OUTCOMES;
    if (pendingCount >= limit) {
      return false;
    }
    pendingCount++;
    pendingByBucket.computeIfAbsent(bucketOf(pending), id -> new ArrayDeque<>()).add(pending);
    return true;
  }

  private void requestFlush(int bucketId) {
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
      List<PendingOperation> batch = pollBatch(bucketId);
      if (!batch.isEmpty()) {
        runningBuckets.add(bucketId);
        Optional<VersionedBucket> cached = Optional.ofNullable(cache.get(bucketId));
        return Optional.of(() -> flush(bucketId, batch, cached));
      }
    }
    return Optional.empty();
  }

  private List<PendingOperation> pollBatch(int bucketId) {
    Deque<PendingOperation> queue = pendingByBucket.getOrDefault(bucketId, new ArrayDeque<>());
    List<PendingOperation> batch = new ArrayList<>();
    while (!queue.isEmpty() && batch.size() < options.maxBatch()) {
      batch.add(queue.poll());
    }
    if (queue.isEmpty()) {
      pendingByBucket.remove(bucketId);
    } else {
      readyBuckets.add(bucketId);
    }
    pendingCount -= batch.size();
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
      updateCache(bucketId, outcome.bucket());
    }
    for (int i = 0; i < batch.size(); i++) {
      finishOperation(batch.get(i), outcome.results().get(i), outcome.error().isPresent());
    }
    startFlushes();
  }

  private void updateCache(int bucketId, Optional<VersionedBucket> bucket) {
    boolean isSmall =
        bucket.isPresent() && bucket.get().bucket().estimatedBytes() <= MAX_CACHED_BYTES_PER_BUCKET;
    if (isSmall) {
      cache.put(bucketId, bucket.get());
    } else {
      cache.remove(bucketId);
    }
  }

  private void finishOperation(PendingOperation pending, ClaimResult result, boolean isFailed) {
    boolean isOld =
        context.clock().since(pending.submittedNanos()).compareTo(OUTCOME_TIME_LIMIT) > 0;
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

  /** Schedules one retry per bucket, regardless of the number of pending outcomes. */
  private void retryLater(int bucketId) {
    synchronized (this) {
      if (!retryingBuckets.add(bucketId)) {
        return;
      }
    }
    context
        .scheduler()
        .schedule(context.random().jitter(OUTCOME_RETRY_DELAY), () -> retry(bucketId));
  }

  private void retry(int bucketId) {
    synchronized (this) {
      retryingBuckets.remove(bucketId);
    }
    requestFlush(bucketId);
  }

  private static int bucketOf(PendingOperation pending) {
    return ClaimLayout.bucketOf(pending.operation().workspace(), pending.operation().key());
  }
}
