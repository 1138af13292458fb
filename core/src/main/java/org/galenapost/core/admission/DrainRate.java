package org.galenapost.core.admission;

import java.time.Duration;

/** Estimates how often a slot becomes free while requests are queued. */
final class DrainRate {

  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 5;

  private double meanIntervalNanos;
  private long lastEndNanos;
  private boolean hasLastEnd;
  private int samples;

  /**
   * Records the end of a request.
   *
   * @param hasQueuedRequests whether other requests are queued; ends on an idle target are not
   *     sampled
   */
  void ended(boolean hasQueuedRequests, long nowNanos) {
    if (hasQueuedRequests && hasLastEnd) {
      double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (samples + 1));
      meanIntervalNanos += weight * (nowNanos - lastEndNanos - meanIntervalNanos);
      samples++;
    }
    hasLastEnd = hasQueuedRequests;
    lastEndNanos = nowNanos;
  }

  /** Returns the expected time until this many slots become free, or zero while unknown. */
  Duration timeToFree(double slots) {
    return samples < MIN_SAMPLES
        ? Duration.ZERO
        : Duration.ofNanos((long) (slots * meanIntervalNanos));
  }
}
