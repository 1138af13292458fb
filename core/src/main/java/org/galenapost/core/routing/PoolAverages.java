package org.galenapost.core.routing;

import java.util.List;

/**
 * The averages of a pool, which stand in for what is not known of one of its servers.
 *
 * @param othersMean the mean of other daemons' requests on a server
 * @param outstandingMean the mean of all requests on a server
 * @param latencyNanos the mean first-answer latency
 * @param nowNanos the reading of the clock at which they hold
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
   * Returns the expected wait for a first answer in milliseconds, weighted with failures. Latency
   * counts by its square root and only above the mean, since it already contains the queue.
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
