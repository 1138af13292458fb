package org.galenapost.core.action;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.PlatformError;

/**
 * Moves old settled claims out of a bucket and keeps digests of their keys. The digests stand in
 * their shard before the claims leave the bucket, and the bucket names the shard's version, so no
 * daemon can find a key in neither place.
 */
final class ClaimCompactor {

  /** How long a settled claim keeps its answer. */
  static final Duration RETENTION = Duration.ofHours(24);

  /** How long a settled claim keeps its answer when its bucket is short of space. */
  static final Duration SHORT_RETENTION = Duration.ofMinutes(15);

  /** How long the key of a settled claim is refused at least. */
  static final Duration EXPIRED_RETENTION = Duration.ofDays(30);

  private static final int MIN_CLAIMS = 64;
  private static final int LARGE_BUCKET_BYTES = 600_000;

  private final ExpiredShards shards;

  ClaimCompactor(ExpiredShards shards) {
    this.shards = shards;
  }

  /** Returns the bucket without old claims, or the same bucket if there is no need or no way. */
  CompletionStage<ClaimBucket> compact(int bucketId, ClaimBucket bucket, Instant now) {
    boolean isLarge = bucket.estimatedBytes() > LARGE_BUCKET_BYTES;
    Instant oldestKept = now.minus(isLarge ? SHORT_RETENTION : RETENTION);
    List<Claim> old =
        bucket.claims().stream()
            .filter(claim -> !claim.state().isOpen())
            .filter(claim -> claim.claimedAt().isBefore(oldestKept))
            .toList();
    if (old.isEmpty() || (!isLarge && old.size() < MIN_CLAIMS)) {
      return CompletableFuture.completedFuture(bucket);
    }
    TreeMap<Integer, List<Claim>> byShard =
        old.stream()
            .collect(
                Collectors.groupingBy(
                    claim -> ClaimLayout.shardOf(claim.workspace(), claim.key()),
                    TreeMap::new,
                    Collectors.toList()));
    CompletionStage<ClaimBucket> result = CompletableFuture.completedFuture(bucket);
    for (var entry : byShard.entrySet()) {
      result =
          result.thenCompose(
              before -> moveToShard(bucketId, before, entry.getKey(), entry.getValue(), now));
    }
    return result;
  }

  private CompletionStage<ClaimBucket> moveToShard(
      int bucketId, ClaimBucket bucket, int shard, List<Claim> old, Instant now) {
    ObjectKey key = ClaimLayout.shardKey(bucketId, shard);
    return shards
        .readAtLeast(key, bucket.shardVersion(shard))
        .thenCompose(
            read ->
                read.isLeft()
                    ? CompletableFuture.completedFuture(read)
                    : append(key, read.get(), old, now))
        .thenApply(
            written ->
                written.fold(
                    error -> bucket,
                    stored ->
                        bucket.without(old::contains).withShardVersion(shard, stored.version())));
  }

  private CompletionStage<Either<PlatformError, ExpiredShards.Shard>> append(
      ObjectKey key, ExpiredShards.Shard read, List<Claim> old, Instant now) {
    ExpiredKeys keys = read.keys();
    for (Claim claim : old) {
      long epochDay = epochDay(claim.claimedAt());
      keys = keys.with(epochDay, ClaimLayout.digestOf(claim.workspace(), claim.key()));
    }
    if (keys.equals(read.keys())) {
      return CompletableFuture.completedFuture(Either.right(read));
    }
    ExpiredKeys trimmed = keys.trimmed(epochDay(now.minus(EXPIRED_RETENTION)));
    if (trimmed.isTooLarge()) {
      PlatformError full = new PlatformError.Invalid(key + " is full");
      return CompletableFuture.completedFuture(Either.left(full));
    }
    return shards.write(key, read, trimmed);
  }

  private static long epochDay(Instant instant) {
    return instant.getEpochSecond() / Duration.ofDays(1).toSeconds();
  }
}
