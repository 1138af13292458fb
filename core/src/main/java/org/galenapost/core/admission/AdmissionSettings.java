package org.galenapost.core.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * The parameters of admission.
 *
 * @param maxQueued the most requests that wait for one target
 * @param maxWaitFraction the part of the time before its deadline that a request may wait
 * @param maxWait the longest wait of all
 * @param initialConcurrency the requests that may run at first, per target
 * @param minConcurrency the least requests that may run, per target
 * @param maxConcurrency the most requests that may run, per target
 * @param targetFirstAnswer the first-answer latency above which a target counts as overloaded
 * @param burst the time for which a workspace's unused limit is saved up
 * @param requiredServiceTimeFraction the part of the estimated service time that must fit before the deadline
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

  /** Returns the parameters in use unless a test needs others. */
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
