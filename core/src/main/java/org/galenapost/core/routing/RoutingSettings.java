package org.galenapost.core.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * The parameters of the load-aware choice.
 *
 * @param reportHalfLife the age at which a load report has lost half its weight
 * @param distrustTime how long the reports of a server are ignored after they contradicted what the
 *     daemon has in flight there
 * @param latencyHalfLife the age at which a latency or a failure has lost half its weight
 * @param priorLatency the first-answer latency assumed of a server that nobody has measured
 * @param consecutiveFailures the failures in a row after which a server is ejected
 * @param ejectionTime the time of the first ejection; doubles with each further one
 * @param maxEjectionTime the longest ejection
 * @param availableFloor the part of a pool that ejection leaves in use, between 0 and 1
 * @param probeShare the part of the requests for which a recovering server is a candidate
 * @param affinityDiscount the factor on the score of the server that should hold the prefix
 * @param hintDiscount the factor on the score of a server known to hold the prefix
 * @param boundedLoad the multiple of the mean load up to which affinity may fill a server
 * @param remoteFactor how many times better a server of another data centre must be
 */
public record RoutingSettings(
    Duration reportHalfLife,
    Duration distrustTime,
    Duration latencyHalfLife,
    Duration priorLatency,
    int consecutiveFailures,
    Duration ejectionTime,
    Duration maxEjectionTime,
    double availableFloor,
    double probeShare,
    double affinityDiscount,
    double hintDiscount,
    double boundedLoad,
    double remoteFactor) {

  /** Checks the arguments. */
  public RoutingSettings {
    Objects.requireNonNull(reportHalfLife, "reportHalfLife");
    Objects.requireNonNull(distrustTime, "distrustTime");
    Objects.requireNonNull(latencyHalfLife, "latencyHalfLife");
    Objects.requireNonNull(priorLatency, "priorLatency");
    Objects.requireNonNull(ejectionTime, "ejectionTime");
    Objects.requireNonNull(maxEjectionTime, "maxEjectionTime");
    if (availableFloor <= 0 || availableFloor > 1) {
      throw new IllegalArgumentException(
          "availableFloor must be above 0 and at most 1, but was " + availableFloor);
    }
    if (boundedLoad < 1) {
      throw new IllegalArgumentException("boundedLoad must be at least 1, but was " + boundedLoad);
    }
  }

  /** Returns the parameters in use unless a test needs others. */
  public static RoutingSettings defaults() {
    return new RoutingSettings(
        Duration.ofSeconds(1),
        Duration.ofSeconds(60),
        Duration.ofSeconds(20),
        Duration.ofMillis(100),
        5,
        Duration.ofSeconds(5),
        Duration.ofSeconds(60),
        1.0 / 3,
        0.1,
        0.6,
        0.45,
        1.1,
        1.2);
  }
}
