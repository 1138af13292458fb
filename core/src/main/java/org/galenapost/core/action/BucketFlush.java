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
 * Applies one batch of operations to one bucket by conditional update. After a conflict or a lost
 * response it applies the batch again to the current bucket. Operations that are already stored are
 * recognized by their attempt ids.
 */
final class BucketFlush {

  private static final Duration TIME_LIMIT = Duration.ofMillis(1500);
  private static final Duration RETRY_DELAY = Duration.ofMillis(40);
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

  /** Runs the flush. The outcome has one result per operation and the error, if any. */
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
      applyOrRetry(answer.flatMap(VersionedBucket::of));
    }
  }

  private void applyOrRetry(Either<PlatformError, VersionedBucket> current) {
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

  /** Loads the shards of expired keys against which the batch's new claims are checked. */
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
          result.thenCompose(
              before -> before.isLeft() ? completed(before) : load(before.get(), shard));
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
      applyOrRetry(VersionedBucket.of(conflict.current()));
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

  /** Fails the flush after an unexpected exception; a write in progress may have been applied. */
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
    context.scheduler().schedule(context.random().jitter(RETRY_DELAY), next);
  }

  private boolean isOutOfTime() {
    return context.clock().since(startedNanos).compareTo(TIME_LIMIT) > 0;
  }

  private static <T> CompletionStage<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }

  /**
   * The outcome of a flush.
   *
   * @param results one result per operation of the batch
   * @param error the error if the batch was not applied
   * @param bucket the current bucket, if known
   */
  record Outcome(
      List<ClaimResult> results, Optional<PlatformError> error, Optional<VersionedBucket> bucket) {}

  /** A bucket with the expired keys against which its new claims are checked. */
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
