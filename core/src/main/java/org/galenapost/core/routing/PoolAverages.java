package org.galenapost.core.routing;

import java.util.List;

/**
 * The averages of a pool, used where a value is unknown for one of its servers.
 *
 * @param othersMean the mean number of requests of other daemons per server
 * @param outstandingMean the mean number of all requests per server
 * @param latencyNanos the mean first-answer latency in nanoseconds
 * @param nowNanos the time of the averages, in nanoseconds of the monotonic clock
 */
record PoolAverages(double othersMean, double outstandingMean, double latencyNanos, long nowNanos) {

  private static final double NANOS_PER_MILLI = 1e6;

  static PoolAverages of(List<ServerLoad> pool, RoutingSettings settings, long nowNanos) {
    double others = weightedOthers(pool, nowNanos);
    double outstanding =
        pool.stream()
            .mapToDouble(server -> server.outstanding(others, nowNanos))
            .average()
            .orElse(0);
    return new PoolAverages(others, outstanding, meanLatency(pool, settings, nowNanos), nowNanos);
  }

  /**
   * Returns the expected wait for a first answer in milliseconds, divided by the squared success
   * rate. The ratio of the latency to the mean counts by its square root and at least as 1, since
   * the measured latency already includes queueing.
   */
  double scoreMillis(ServerLoad server) {
    double ratio = server.expectedLatencyNanos(latencyNanos, nowNanos) / latencyNanos;
    double latencyMillis = latencyNanos / NANOS_PER_MILLI * Math.max(1, Math.sqrt(ratio));
    double queue = 1 + server.outstanding(othersMean, nowNanos);
    double success = server.successRate(nowNanos);
    return latencyMillis * queue / (success * success);
  }

  boolean isWithinBound(ServerLoad server, double bound) {
    return server.outstanding(othersMean, nowNanos) <= bound * (outstandingMean + 1);
  }

  private static double weightedOthers(List<ServerLoad> pool, long nowNanos) {
    double weights = 0;
    double sum = 0;
    for (ServerLoad server : pool) {
      double weight = server.reportWeight(nowNanos);
      weights += weight;
      sum += weight * server.reportedByOthers();
    }
    return weights == 0 ? 0 : sum / weights;
  }

  private static double meanLatency(
      List<ServerLoad> pool, RoutingSettings settings, long nowNanos) {
    double weights = 0;
    double sum = 0;
    for (ServerLoad server : pool) {
      double weight = server.latencyWeight(nowNanos);
      weights += weight;
      sum += weight * server.measuredLatencyNanos();
    }
    return weights == 0 ? settings.priorLatency().toNanos() : sum / weights;
  }
}
