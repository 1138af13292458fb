package org.galenapost.core.admission;

import java.time.Duration;

/**
 * Finds how many requests one target takes from this daemon: adds a little while answers come in
 * time and the limit is in use, cuts the more the later an answer is. Late is what takes longer
 * than the target latency and than three times what is usual, so that a service that is slow by
 * nature is not held down. Daemons that share a target settle without talking to each other.
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
    double inTime = latencyThresholdNanos() / latency.toNanos();
    updateBaseline(latency);
    if (inTime < 1) {
      decrease(Math.max(MIN_DECREASE_FACTOR, inTime), running, nowNanos);
    } else if (running >= MIN_UTILISATION_TO_INCREASE * limit) {
      double step = hasDecreased ? 1 / limit : 1;
      limit = Math.min(settings.maxConcurrency(), limit + step);
    }
  }

  private double latencyThresholdNanos() {
    return Math.max(settings.targetFirstAnswer().toNanos(), BASELINE_MULTIPLE * baselineLatencyNanos);
  }

  /** Follows the latency downwards quickly and upwards slowly, so that a queue is not usual. */
  private void updateBaseline(Duration latency) {
    double difference = latency.toNanos() - baselineLatencyNanos;
    boolean isFirst = baselineLatencyNanos == 0;
    baselineLatencyNanos += isFirst ? difference : difference * (difference < 0 ? BASELINE_FALL_WEIGHT : BASELINE_RISE_WEIGHT);
  }

  /** Cuts once the last cut has taken effect: more running than allowed are from before it. */
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
