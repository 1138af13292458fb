package org.galenapost.core.action;

import java.time.Duration;
import java.util.Objects;

/**
 * Options for batching operations on claims into writes.
 *
 * @param maxBatch the maximum number of operations per write
 * @param maxConcurrentFlushes the maximum number of buckets written concurrently
 * @param outcomeLinger the delay of an outcome, so that it can share a write with later claims
 */
public record ClaimOptions(int maxBatch, int maxConcurrentFlushes, Duration outcomeLinger) {

  /** The default options. */
  public static final ClaimOptions DEFAULT = new ClaimOptions(256, 16, Duration.ofMillis(200));

  /** Checks the arguments. */
  public ClaimOptions {
    Objects.requireNonNull(outcomeLinger, "outcomeLinger");
    if (maxBatch < 1 || maxConcurrentFlushes < 1) {
      throw new IllegalArgumentException(
          "maxBatch and maxConcurrentFlushes must be at least 1, but were "
              + maxBatch
              + " and "
              + maxConcurrentFlushes);
    }
  }
}
