package org.galenapost.core.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * The parameters of the load-aware choice.
 *
 * @param reportHalfLife the age at which a load report has lost half its weight
 * @param distrustTime how long a server's reports are ignored after they contradicted the number of
 *     requests that the daemon has in flight there
 * @param latencyHalfLife the age at which a measured latency or a failure has lost half its weight
 * @param priorLatency the first-answer latency assumed while none is measured
 * @param consecutiveFailures the consecutive failures after which a server is ejected
 * @param ejectionTime the duration of the first ejection; doubles with each further one
 * @param maxEjectionTime the maximum duration of an ejection, before jitter
 * @param availableFloor the minimum fraction of a pool that stays in use despite ejections, above 0
 *     and at most 1
 * @param probeShare the fraction of the requests for which a recovering server is a candidate
 * @param affinityDiscount the factor on the score of the server that the prefix hashes to
 * @param hintDiscount the factor on the score of a server that probably has the prefix cached
 * @param boundedLoad the multiple of the mean load up to which affinity may load a server
 * @param remoteFactor the factor by which the score of a server in another data centre must be
 *     better
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

  /** Returns the default parameters. */
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
