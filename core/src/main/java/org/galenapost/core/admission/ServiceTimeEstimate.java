package org.galenapost.core.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates the service time of requests of one target and urgency from the time to the first
 * answer and the time per token.
 */
final class ServiceTimeEstimate {

  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 5;

  private double firstAnswerNanos;
  private double nanosPerToken;
  private int samples;

  /**
   * Adds the sample of a finished request.
   *
   * @param firstAnswer the time to its first answer
   * @param total the time to its last answer
   * @param costTokens the maximum tokens that it asked for, not the tokens used; the time per token
   *     thus includes the ratio of the two
   */
  void add(Duration firstAnswer, Duration total, int costTokens) {
    double perToken = Math.max(0, total.minus(firstAnswer).toNanos()) / (double) costTokens;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (samples + 1));
    firstAnswerNanos += weight * (firstAnswer.toNanos() - firstAnswerNanos);
    nanosPerToken += weight * (perToken - nanosPerToken);
    samples++;
  }

  /** Returns the service time of a cost without queueing, or empty with too few samples. */
  Optional<Duration> serviceTime(double costTokens) {
    return samples < MIN_SAMPLES
        ? Optional.empty()
        : Optional.of(Duration.ofNanos((long) (firstAnswerNanos + costTokens * nanosPerToken)));
  }
}
