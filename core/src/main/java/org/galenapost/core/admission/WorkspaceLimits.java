package org.galenapost.core.admission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.galenapost.core.limits.TokenBucket;
import org.galenapost.core.time.MonotonicClock;

/** Holds each workspace to this daemon's part of its limit; guarded by its owner's lock. */
final class WorkspaceLimits {

  private static final int MAX_WORKSPACES = 10_000;

  private final MonotonicClock clock;
  private final Duration burst;
  private final Function<String, WorkspaceTerms> terms;
  private final DemandShares shares;
  private final Cache<String, TokenBucket> buckets =
      Caffeine.newBuilder().maximumSize(MAX_WORKSPACES).executor(Runnable::run).build();

  WorkspaceLimits(
      MonotonicClock clock,
      Duration burst,
      Function<String, WorkspaceTerms> terms,
      DemandShares shares) {
    this.clock = clock;
    this.burst = burst;
    this.terms = terms;
    this.shares = shares;
  }

  /** Returns this daemon's part of the workspace's weight. */
  double weight(String workspace) {
    return terms.apply(workspace).weight() * shares.share(workspace);
  }

  /** Charges a request, or returns how long the workspace must wait before it may send another. */
  Optional<Duration> charge(String workspace, double costTokens) {
    Optional<TokenBucket> bucket = bucket(workspace);
    if (!bucket.map(limited -> limited.tryTakeWithDebt(costTokens)).orElse(true)) {
      return bucket.map(limited -> limited.timeUntil(1));
    }
    return Optional.empty();
  }

  /** Ends a request that was charged and gives back what it did not use. */
  void refund(String workspace, double unusedTokens) {
    bucket(workspace).ifPresent(limited -> limited.add(unusedTokens));
  }

  private Optional<TokenBucket> bucket(String workspace) {
    var limit = terms.apply(workspace).tokensPerSecondLimit();
    if (limit.isEmpty()) {
      return Optional.empty();
    }
    double tokensPerSecond = limit.getAsDouble() * shares.share(workspace);
    double capacityTokens = tokensPerSecond * burst.toMillis() / 1000.0;
    TokenBucket bucket =
        buckets.get(workspace, name -> new TokenBucket(clock, tokensPerSecond, capacityTokens));
    bucket.resize(tokensPerSecond, capacityTokens);
    return Optional.of(bucket);
  }
}
