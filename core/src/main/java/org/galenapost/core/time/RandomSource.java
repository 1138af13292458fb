package org.galenapost.core.time;

import java.time.Duration;

/** A source of random numbers; tests use a seeded one. */
@FunctionalInterface
public interface RandomSource {

  /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
  double nextDouble();

  /**
   * Returns a uniformly distributed index from 0 (inclusive) to the bound (exclusive).
   *
   * @param bound the number of indexes, at least 1
   */
  default int nextIndex(int bound) {
    return Math.min(bound - 1, (int) (nextDouble() * bound));
  }

  /** Returns a duration uniformly distributed between 0.5 and 1.5 times the given one. */
  default Duration jitter(Duration duration) {
    return Duration.ofNanos((long) (duration.toNanos() * (0.5 + nextDouble())));
  }
}
