package org.galenapost.core.action;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.core.verdict.Refusal;

/**
 * Brings one batch of operations into one bucket by conditional update. After a conflict or a lost
 * answer it looks at the current bucket and applies the batch again; an operation that already
 * stands is recognized by its attempt id.
 */
final class BucketFlush {

  private static final Duration LIMIT = Duration.ofMillis(1500);
  private static final Duration PAUSE = Duration.ofMillis(40);
  private static final int MAX_CONFLICTS = 12;

  private final ClaimContext context;
  private final int bucketId;
  private final ObjectKey key;
  private final List<PendingOperation> batch;
  private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
  private final long startedNanos;
  private boolean isFresh;
  private boolean mayHaveWritten;
  private int conflicts;

  BucketFlush(ClaimContext context, int bucketId, List<PendingOperation> batch) {
    this.context = context;
    this.bucketId = bucketId;
    this.key = ClaimLayout.bucketKey(bucketId);
    this.batch = List.copyOf(batch);
    this.startedNanos = context.clock().nanos();
  }

  /** Runs the flush; the outcome holds one result per operation, or why there is none. */
  CompletionStage<Outcome> run(Optional<VersionedBucket> cached) {
    cached.ifPresentOrElse(this::compactAndApply, this::read);
    return outcome;
  }

  private void read() {
    context.store().get(key).thenAccept(this::onRead).exceptionally(this::onFault);
  }

  private void onRead(Either<PlatformError, VersionedObject> answer) {
    isFresh = true;
    if (answer.isLeft() && answer.getLeft() instanceof PlatformError.NotFound) {
      compactAndApply(VersionedBucket.ABSENT);
    } else {
      continueWith(answer.flatMap(VersionedBucket::of));
    }
  }

  private void continueWith(Either<PlatformError, VersionedBucket> current) {
    if (current.isRight()) {
      compactAndApply(current.get());
    } else {
      onReadError(current.getLeft());
    }
  }

  private void onReadError(PlatformError error) {
    boolean isDown = error instanceof PlatformError.Unavailable && !mayHaveWritten;
    if (isDown || isOutOfTime()) {
      fail(error);
    } else {
      retryLater(this::read);
    }
  }

  private void compactAndApply(VersionedBucket current) {
    Instant now = context.wallClock().instant();
    context
        .compactor()
        .compact(bucketId, current.bucket(), now)
        .thenCompose(this::withExpiredShards)
        .thenAccept(
            prepared ->
                prepared.peek(bucket -> apply(current, bucket, now)).peekLeft(this::onReadError));
  }

  /** Loads the shards of expired keys that the batch's new claims have to be checked against. */
  private CompletionStage<Either<PlatformError, Prepared>> withExpiredShards(ClaimBucket bucket) {
    CompletionStage<Either<PlatformError, Prepared>> result =
        CompletableFuture.completedFuture(Either.right(new Prepared(bucket, Map.of())));
    List<Integer> shards =
        batch.stream()
            .map(PendingOperation::operation)
            .filter(ClaimOperation.Acquire.class::isInstance)
            .filter(acquire -> bucket.find(acquire.workspace(), acquire.key()).isEmpty())
            .map(acquire -> ClaimLayout.shardOf(acquire.workspace(), acquire.key()))
            .distinct()
            .filter(shard -> bucket.shardVersion(shard) > 0)
            .toList();
    for (int shard : shards) {
      result =
          result.thenCompose(before -> before.isLeft() ? done(before) : load(before.get(), shard));
    }
    return result;
  }

  private CompletionStage<Either<PlatformError, Prepared>> load(Prepared prepared, int shard) {
    return context
        .shards()
        .readAtLeast(ClaimLayout.shardKey(bucketId, shard), prepared.bucket().shardVersion(shard))
        .thenApply(answer -> answer.map(read -> prepared.with(shard, read.keys())));
  }

  private void apply(VersionedBucket current, Prepared prepared, Instant now) {
    ClaimBucket bucket = prepared.bucket();
    List<ClaimResult> results = new ArrayList<>();
    for (PendingOperation pending : batch) {
      ClaimOperation operation = pending.operation();
      boolean isExpired = prepared.isExpired(operation) || isKeyTooOld(operation, now);
      ClaimRules.Transition step = context.rules().apply(bucket, operation, now, isExpired);
      bucket = step.bucket();
      results.add(step.result());
    }
    if (!bucket.equals(current.bucket())) {
      write(current.version(), bucket, results);
    } else if (isFresh) {
      outcome.complete(new Outcome(results, Optional.empty(), Optional.of(current)));
    } else {
      read();
    }
  }

  private static boolean isKeyTooOld(ClaimOperation operation, Instant now) {
    return KeyTimestamp.of(operation.key())
        .filter(time -> time.isBefore(now.minus(ClaimCompactor.EXPIRED_RETENTION)))
        .isPresent();
  }

  private void write(long version, ClaimBucket bucket, List<ClaimResult> results) {
    context
        .store()
        .put(key, version, Json.write(bucket))
        .thenAccept(answer -> onWritten(version, bucket, results, answer))
        .exceptionally(this::onFault);
  }

  private void onWritten(
      long version,
      ClaimBucket bucket,
      List<ClaimResult> results,
      Either<PlatformError, VersionedObject> answer) {
    if (answer.isRight()) {
      VersionedBucket written = new VersionedBucket(answer.get().version(), bucket);
      outcome.complete(new Outcome(results, Optional.empty(), Optional.of(written)));
      return;
    }
    PlatformError error = answer.getLeft();
    if (error instanceof PlatformError.Conflict conflict && ++conflicts <= MAX_CONFLICTS) {
      isFresh = true;
      continueWith(VersionedBucket.of(conflict.current()));
    } else if (error instanceof PlatformError.AnswerLost && !isOutOfTime()) {
      mayHaveWritten = true;
      retryLater(this::read);
    } else if (error instanceof PlatformError.Overloaded && !isOutOfTime()) {
      retryLater(() -> write(version, bucket, results));
    } else {
      mayHaveWritten |= error instanceof PlatformError.AnswerLost;
      fail(error);
    }
  }

  private void fail(PlatformError error) {
    List<ClaimResult> results = new ArrayList<>();
    for (int i = 0; i < batch.size(); i++) {
      results.add(
          mayHaveWritten
              ? new ClaimResult.Unresolved()
              : new ClaimResult.Refused(refusalOf(error)));
    }
    outcome.complete(new Outcome(results, Optional.of(error), Optional.empty()));
  }

  /** Ends the flush after a fault of the program; nothing is known of a write in progress. */
  private Void onFault(Throwable fault) {
    mayHaveWritten = true;
    fail(new PlatformError.AnswerLost(fault.toString()));
    return null;
  }

  private static Refusal refusalOf(PlatformError error) {
    return error instanceof PlatformError.Invalid
        ? ClaimRefusals.bucketFull()
        : ClaimRefusals.platformUnavailable(error.toString());
  }

  private void retryLater(Runnable next) {
    context.scheduler().schedule(context.random().jitter(PAUSE), next);
  }

  private boolean isOutOfTime() {
    return context.clock().since(startedNanos).compareTo(LIMIT) > 0;
  }

  private static <T> CompletionStage<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }

  /**
   * How a flush ended.
   *
   * @param results one result per operation of the batch
   * @param error why the batch does not stand, empty if it does
   * @param bucket the bucket as it stands, if known
   */
  record Outcome(
      List<ClaimResult> results, Optional<PlatformError> error, Optional<VersionedBucket> bucket) {}

  /** A bucket with the expired keys that its new claims are checked against. */
  private record Prepared(ClaimBucket bucket, Map<Integer, ExpiredKeys> expiredKeys) {

    Prepared with(int shard, ExpiredKeys keys) {
      Map<Integer, ExpiredKeys> changed = new HashMap<>(expiredKeys);
      changed.put(shard, keys);
      return new Prepared(bucket, changed);
    }

    boolean isExpired(ClaimOperation operation) {
      int shard = ClaimLayout.shardOf(operation.workspace(), operation.key());
      ExpiredKeys keys = expiredKeys.getOrDefault(shard, ExpiredKeys.EMPTY);
      return keys.contains(ClaimLayout.digestOf(operation.workspace(), operation.key()));
    }
  }
}
