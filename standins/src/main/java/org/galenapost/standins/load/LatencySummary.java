package org.galenapost.standins.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The percentiles of one latency, in milliseconds.
 *
 * @param count the number of values
 * @param p50Ms the median
 * @param p95Ms the 95th percentile
 * @param p99Ms the 99th percentile
 * @param maxMs the maximum
 */
public record LatencySummary(long count, double p50Ms, double p95Ms, double p99Ms, double maxMs) {

  private static final double P50 = 50;
  private static final double P95 = 95;
  private static final double P99 = 99;
  private static final double MICROS_PER_MILLI = TimeUnit.MILLISECONDS.toMicros(1);

  /** Summarizes a histogram whose values are in microseconds. */
  static LatencySummary of(Histogram histogram) {
    return new LatencySummary(
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(P50) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(P95) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(P99) / MICROS_PER_MILLI,
        histogram.getMaxValue() / MICROS_PER_MILLI);
  }
}
