package org.galenapost.core.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of retry budgets and backoff.
 *
 * @param maxAttempts the maximum number of attempts per request, including the first
 * @param tokensPerRequest the tokens that a first attempt adds to its workspace's bucket
 * @param workspaceBurst the capacity of a workspace's bucket, in retries
 * @param daemonTokensPerRequest the tokens that a first attempt adds to the daemon's bucket
 * @param daemonBurst the capacity of the daemon's bucket, in retries
 * @param reservePerSecond the refill rate of every bucket, in retries per second, independent of
 *     traffic
 * @param baseBackoff the upper bound of the delay before the second attempt; doubles with each
 *     retry
 * @param maxBackoff the upper bound of every delay
 */
public record RetrySettings(
    int maxAttempts,
    double tokensPerRequest,
    double workspaceBurst,
    double daemonTokensPerRequest,
    double daemonBurst,
    double reservePerSecond,
    Duration baseBackoff,
    Duration maxBackoff) {

  /** Checks the arguments. */
  public RetrySettings {
    Objects.requireNonNull(baseBackoff, "baseBackoff");
    Objects.requireNonNull(maxBackoff, "maxBackoff");
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts must be at least 1, but was " + maxAttempts);
    }
    if (reservePerSecond <= 0) {
      throw new IllegalArgumentException(
          "reservePerSecond must be positive, but was " + reservePerSecond);
    }
  }

  /** Returns the default settings. */
  public static RetrySettings defaults() {
    return new RetrySettings(
        4, 0.2, 20, 0.1, 60, 0.2, Duration.ofMillis(50), Duration.ofSeconds(2));
  }
}
