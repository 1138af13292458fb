package org.galenapost.core.admission;

import java.time.Duration;

/**
 * Adapts the number of requests that this daemon runs on one target at a time. The limit grows
 * additively while answers are in time and the limit is used. It shrinks multiplicatively, by more
 * for a later answer. An answer is late if its latency exceeds both the target latency and three
 * times the baseline latency, so a service that is always slow keeps its limit. Daemons that share
 * a target converge without exchanging messages.
 */
final class ConcurrencyLimit {

  private static final double MIN_DECREASE_FACTOR = 0.5;
  private static final double MIN_UTILISATION_TO_INCREASE = 0.8;
  private static final Duration MIN_TIME_BETWEEN_DECREASES = Duration.ofMillis(500);
  private static final double BASELINE_MULTIPLE = 3;
  private static final double BASELINE_FALL_WEIGHT = 0.1;
  private static final double BASELINE_RISE_WEIGHT = 0.005;

  private final AdmissionSettings settings;
  private double limit;
  private double baselineLatencyNanos;
  private long lastDecreaseNanos;
  private boolean hasDecreased;

  ConcurrencyLimit(AdmissionSettings settings) {
    this.settings = settings;
    this.limit = settings.initialConcurrency();
  }

  int limit() {
    return (int) limit;
  }

  void onFirstAnswer(Duration latency, int running, long nowNanos) {
    double thresholdRatio = latencyThresholdNanos() / latency.toNanos();
    updateBaseline(latency);
    if (thresholdRatio < 1) {
      decrease(Math.max(MIN_DECREASE_FACTOR, thresholdRatio), running, nowNanos);
    } else if (running >= MIN_UTILISATION_TO_INCREASE * limit) {
      double step = hasDecreased ? 1 / limit : 1;
      limit = Math.min(settings.maxConcurrency(), limit + step);
    }
  }

  private double latencyThresholdNanos() {
    return Math.max(
        settings.targetFirstAnswer().toNanos(), BASELINE_MULTIPLE * baselineLatencyNanos);
  }

  /** Lowers the baseline quickly and raises it slowly, so that queueing does not raise it. */
  private void updateBaseline(Duration latency) {
    double difference = latency.toNanos() - baselineLatencyNanos;
    boolean isFirstSample = baselineLatencyNanos == 0;
    baselineLatencyNanos +=
        isFirstSample
            ? difference
            : difference * (difference < 0 ? BASELINE_FALL_WEIGHT : BASELINE_RISE_WEIGHT);
  }

  /**
   * Decreases the limit, except while the last decrease is still taking effect. While more requests
   * run than the limit allows, some of them were admitted before that decrease.
   */
  private void decrease(double factor, int running, long nowNanos) {
    boolean isTooSoon = nowNanos - lastDecreaseNanos < MIN_TIME_BETWEEN_DECREASES.toNanos();
    if (hasDecreased && (isTooSoon || running > limit)) {
      return;
    }
    hasDecreased = true;
    lastDecreaseNanos = nowNanos;
    limit = Math.max(settings.minConcurrency(), limit * factor);
  }
}
