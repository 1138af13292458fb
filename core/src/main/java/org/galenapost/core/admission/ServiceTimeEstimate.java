package org.galenapost.core.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Learns how long requests of one target and urgency take: until the first answer, and for each
 * token.
 */
final class ServiceTimeEstimate {

  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 5;

  private double firstAnswerNanos;
  private double nanosPerToken;
  private int samples;

  /**
   * Adds a finished request.
   *
   * @param firstAnswer the time to its first answer
   * @param total the time to its last
   * @param costTokens the tokens that it asked for, not those that it got: the ratio is learnt too
   */
  void add(Duration firstAnswer, Duration total, int costTokens) {
    double perToken = Math.max(0, total.minus(firstAnswer).toNanos()) / (double) costTokens;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (samples + 1));
    firstAnswerNanos += weight * (firstAnswer.toNanos() - firstAnswerNanos);
    nanosPerToken += weight * (perToken - nanosPerToken);
    samples++;
  }

  /** Returns how long a cost takes on an idle server, if enough is known. */
  Optional<Duration> serviceTime(double costTokens) {
    return samples < MIN_SAMPLES
        ? Optional.empty()
        : Optional.of(Duration.ofNanos((long) (firstAnswerNanos + costTokens * nanosPerToken)));
  }
}
