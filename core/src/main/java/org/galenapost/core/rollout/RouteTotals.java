package org.galenapost.core.rollout;

import java.util.Map;
import java.util.TreeMap;

/**
 * The results of one version on one route.
 *
 * @param answers how many sends have ended
 * @param failures how many of them failed
 * @param losses how many of them were lost
 * @param timeCounts how many had their first event or answer within each time bucket; bucket i ends
 *     at {@code 2^(i/4)} ms
 */
public record RouteTotals(long answers, long failures, long losses, Map<Integer, Long> timeCounts) {

  /** No results. */
  static final RouteTotals NONE = new RouteTotals(0, 0, 0, Map.of());

  private static final double BUCKETS_PER_DOUBLING = 4;

  /** Copies the counts. */
  public RouteTotals {
    timeCounts = Map.copyOf(timeCounts);
  }

  /** Returns the bucket of a time in milliseconds. */
  static int bucketOf(double ms) {
    double doublings = Math.log(Math.max(1, ms)) / Math.log(2);
    return (int) Math.ceil(BUCKETS_PER_DOUBLING * doublings);
  }

  /** Returns the totals with one more result; the time counts only for complete answers. */
  RouteTotals plus(AnswerOutcome outcome, double firstEventMs) {
    Map<Integer, Long> times =
        outcome == AnswerOutcome.ANSWERED ? Map.of(bucketOf(firstEventMs), 1L) : Map.of();
    return plus(
        new RouteTotals(
            1,
            outcome == AnswerOutcome.FAILED ? 1 : 0,
            outcome == AnswerOutcome.LOST ? 1 : 0,
            times));
  }

  /** Returns the sum of two totals. */
  RouteTotals plus(RouteTotals other) {
    Map<Integer, Long> times = new TreeMap<>(timeCounts);
    other.timeCounts.forEach((bucket, count) -> times.merge(bucket, count, Long::sum));
    return new RouteTotals(
        answers + other.answers, failures + other.failures, losses + other.losses, times);
  }

  /** Returns the number of timed answers. */
  long timed() {
    return timeCounts.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the bucket that holds the median time; 0 if no answer is timed. */
  int medianBucket() {
    long left = (timed() + 1) / 2;
    for (Map.Entry<Integer, Long> entry : new TreeMap<>(timeCounts).entrySet()) {
      left -= entry.getValue();
      if (left <= 0) {
        return entry.getKey();
      }
    }
    return 0;
  }

  /** Returns the number of answers that took longer than a bucket's end. */
  long slowerThan(int bucket) {
    return timeCounts.entrySet().stream()
        .filter(entry -> entry.getKey() > bucket)
        .mapToLong(Map.Entry::getValue)
        .sum();
  }
}
