package org.galenapost.core.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * The parameters of admission.
 *
 * @param maxQueued the maximum number of requests queued for one target
 * @param maxWaitFraction the fraction of the time to its deadline that a request may wait
 * @param maxWait the maximum wait of any request
 * @param initialConcurrency the initial concurrency limit per target
 * @param minConcurrency the lowest concurrency limit per target
 * @param maxConcurrency the highest concurrency limit per target
 * @param targetFirstAnswer the first-answer latency above which a target counts as overloaded
 * @param burst the time over which a workspace accumulates unused tokens of its limit
 * @param requiredServiceTimeFraction the fraction of the estimated service time that must fit
 *     before the deadline
 */
public record AdmissionSettings(
    int maxQueued,
    double maxWaitFraction,
    Duration maxWait,
    int initialConcurrency,
    int minConcurrency,
    int maxConcurrency,
    Duration targetFirstAnswer,
    Duration burst,
    double requiredServiceTimeFraction) {

  /** Checks the arguments. */
  public AdmissionSettings {
    Objects.requireNonNull(maxWait, "maxWait");
    Objects.requireNonNull(targetFirstAnswer, "targetFirstAnswer");
    Objects.requireNonNull(burst, "burst");
    if (minConcurrency < 1
        || minConcurrency > initialConcurrency
        || initialConcurrency > maxConcurrency) {
      throw new IllegalArgumentException(
          "expected 1 <= minConcurrency <= initialConcurrency <= maxConcurrency, but was "
              + minConcurrency
              + ", "
              + initialConcurrency
              + ", "
              + maxConcurrency);
    }
  }

  /** Returns the default parameters. */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(
        64,
        0.3,
        Duration.ofSeconds(20),
        16,
        4,
        2048,
        Duration.ofMillis(1500),
        Duration.ofSeconds(10),
        0.8);
  }
}
