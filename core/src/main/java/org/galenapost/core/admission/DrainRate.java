package org.galenapost.core.admission;

import java.time.Duration;

/** Learns how often a place becomes free while requests wait. */
final class DrainRate {

  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 5;

  private double meanIntervalNanos;
  private long lastEndNanos;
  private boolean hasLastEnd;
  private int samples;

  /**
   * Notes that a request has ended.
   *
   * @param isWaitedFor whether others wait for its place; an idle target says nothing
   */
  void ended(boolean isWaitedFor, long nowNanos) {
    if (isWaitedFor && hasLastEnd) {
      double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (samples + 1));
      meanIntervalNanos += weight * (nowNanos - lastEndNanos - meanIntervalNanos);
      samples++;
    }
    hasLastEnd = isWaitedFor;
    lastEndNanos = nowNanos;
  }

  /** Returns how long it takes until so many places have become free; zero while unknown. */
  Duration timeToFree(double places) {
    return samples < MIN_SAMPLES
        ? Duration.ZERO
        : Duration.ofNanos((long) (places * meanIntervalNanos));
  }
}
