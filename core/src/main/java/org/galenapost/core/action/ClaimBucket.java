package org.galenapost.core.action;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The claims whose keys share one bucket; one object of the platform's object API.
 *
 * @param claims the claims
 * @param expiredShards the versions of the shards that hold the digests of expired keys
 */
record ClaimBucket(List<Claim> claims, List<ShardVersion> expiredShards) {

  static final ClaimBucket EMPTY = new ClaimBucket(List.of(), List.of());

  ClaimBucket {
    claims = List.copyOf(claims);
    expiredShards = List.copyOf(expiredShards);
  }

  Optional<Claim> find(String workspace, String key) {
    return claims.stream().filter(claim -> claim.matches(workspace, key)).findFirst();
  }

  ClaimBucket with(Claim claim) {
    List<Claim> changed = new ArrayList<>(claims);
    changed.removeIf(other -> other.matches(claim.workspace(), claim.key()));
    changed.add(claim);
    return new ClaimBucket(changed, expiredShards);
  }

  ClaimBucket without(Predicate<Claim> removed) {
    return new ClaimBucket(claims.stream().filter(removed.negate()).toList(), expiredShards);
  }

  /** Returns the version of a shard that must be read at least, 0 if the shard is empty. */
  long shardVersion(int shard) {
    return expiredShards.stream()
        .filter(entry -> entry.shard() == shard)
        .mapToLong(ShardVersion::version)
        .findFirst()
        .orElse(0);
  }

  ClaimBucket withShardVersion(int shard, long version) {
    List<ShardVersion> changed = new ArrayList<>(expiredShards);
    changed.removeIf(entry -> entry.shard() == shard);
    changed.add(new ShardVersion(shard, version));
    return new ClaimBucket(claims, changed);
  }

  int estimatedBytes() {
    return claims.stream().mapToInt(Claim::estimatedBytes).sum();
  }

  /**
   * The version of one shard.
   *
   * @param shard the shard
   * @param version its version in the platform's object API
   */
  record ShardVersion(int shard, long version) {}
}
