package org.galenapost.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes exponential backoff with full jitter, so that concurrent retries do not synchronize. */
public final class Backoff {

  private static final int MAX_DOUBLINGS = 20;

  private final Duration base;
  private final Duration max;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param base the upper bound of the delay after the first failure
   * @param max the upper bound of every delay
   * @param random the source of the jitter
   */
  public Backoff(Duration base, Duration max, RandomGenerator random) {
    this.base = base;
    this.max = max;
    this.random = random;
  }

  /** Returns a random delay between zero and the bound for the given number of failures. */
  public Duration afterFailures(int failures) {
    int doublings = Math.min(Math.max(0, failures - 1), MAX_DOUBLINGS);
    long boundNanos = Math.min(max.toNanos(), base.toNanos() << doublings);
    return Duration.ofNanos((long) (random.nextDouble() * boundNanos));
  }
}
