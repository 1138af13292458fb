package org.galenapost.scenarios.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Formats the results of an experiment as a Markdown table. */
final class ExperimentTable {

  static final String HEADER =
      """
      | variant | failure | first token p50 / p95 ms | between tokens p95 ms | interrupted \
      | resume latency p50 / p99 / max ms | extra use | goodput /s | fairness | prefix hits \
      | sent | whole | refused | wrong |
      |---|---|---|---|---|---|---|---|---|---|---|---|---|---|
      """;

  private ExperimentTable() {}

  /** Returns a row that aggregates all seeds: medians, maxima of tail latencies, sums of counts. */
  static String row(String variant, String failure, List<RunResult> results) {
    return String.format(
        Locale.ROOT,
        "| %s | %s | %.0f / %.0f | %.1f | %d | %.0f / %.0f / %.0f | %.4f | %.2f | %.3f | %.3f |"
            + " %d | %d | %d | %d |",
        variant,
        failure,
        median(results, RunResult::firstTokenP50Ms),
        median(results, RunResult::firstTokenP95Ms),
        median(results, RunResult::betweenTokensP95Ms),
        sum(results, RunResult::interruptions),
        median(results, RunResult::interruptionP50Ms),
        max(results, RunResult::interruptionP99Ms),
        max(results, RunResult::longestGapMs),
        median(results, RunResult::extraUse),
        median(results, RunResult::goodputPerSecond),
        median(results, RunResult::fairness),
        median(results, RunResult::hitRate),
        sum(results, RunResult::sent),
        sum(results, RunResult::completed),
        sum(results, RunResult::refused),
        sum(results, RunResult::wrong));
  }

  private static double median(List<RunResult> results, ToDoubleFunction<RunResult> value) {
    List<Double> sorted = results.stream().mapToDouble(value).sorted().boxed().toList();
    return sorted.get(sorted.size() / 2);
  }

  private static double max(List<RunResult> results, ToDoubleFunction<RunResult> value) {
    return results.stream().mapToDouble(value).max().orElse(0);
  }

  private static long sum(List<RunResult> results, ToDoubleFunction<RunResult> value) {
    return (long) results.stream().mapToDouble(value).sum();
  }
}
