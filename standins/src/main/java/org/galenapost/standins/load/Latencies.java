package org.galenapost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Records the latencies of one class of requests. Thread-safe. */
public final class Latencies {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final long interruptionNanos;
  private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram betweenTokens = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram interruptions = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram longestGap = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram total = new Histogram(SIGNIFICANT_DIGITS);
  private final List<Sample> samples = new ArrayList<>();

  /**
   * Creates empty histograms.
   *
   * @param interruptionMs the shortest gap between two tokens, in milliseconds, that counts as an
   *     interruption
   */
  Latencies(long interruptionMs) {
    this.interruptionNanos = TimeUnit.MILLISECONDS.toNanos(interruptionMs);
  }

  synchronized void recordFirstToken(long latencyNanos) {
    firstToken.recordValue(toMicros(latencyNanos));
  }

  synchronized void recordTokenGap(long gapNanos) {
    betweenTokens.recordValue(toMicros(gapNanos));
    if (gapNanos >= interruptionNanos) {
      interruptions.recordValue(toMicros(gapNanos));
    }
  }

  synchronized void recordStreamEnd(long startNanos, long firstNanos, long longestGapNanos) {
    longestGap.recordValue(toMicros(longestGapNanos));
    samples.add(
        new Sample(
            startNanos / NANOS_PER_MILLI,
            firstNanos / NANOS_PER_MILLI,
            longestGapNanos / NANOS_PER_MILLI));
  }

  synchronized void recordTotal(long latencyNanos) {
    total.recordValue(toMicros(latencyNanos));
  }

  synchronized List<Sample> samples() {
    return List.copyOf(samples);
  }

  synchronized Summary summary() {
    return new Summary(
        LatencySummary.of(firstToken),
        LatencySummary.of(betweenTokens),
        LatencySummary.of(interruptions),
        LatencySummary.of(longestGap),
        LatencySummary.of(total));
  }

  private static long toMicros(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /**
   * The latency percentiles, without requests that started during the warm-up.
   *
   * @param firstToken time from the intended start to the first token
   * @param betweenTokens time between two consecutive tokens
   * @param interruptions gaps between two tokens that count as interruptions; after a failure such
   *     a gap is the resume latency
   * @param longestGap longest time between two tokens, one value per stream
   * @param total time from the intended start to the end of the answer
   */
  public record Summary(
      LatencySummary firstToken,
      LatencySummary betweenTokens,
      LatencySummary interruptions,
      LatencySummary longestGap,
      LatencySummary total) {}
}
