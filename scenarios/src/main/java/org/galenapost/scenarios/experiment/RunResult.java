package org.galenapost.scenarios.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The figures of one run.
 *
 * @param firstTokenP50Ms the median of first tokens
 * @param firstTokenP95Ms the 95th percentile of first tokens
 * @param betweenTokensP95Ms the 95th percentile between tokens
 * @param interruptions streams that were interrupted
 * @param interruptionP50Ms the median interruption
 * @param interruptionP99Ms the 99th percentile of interruptions
 * @param longestGapMs the longest interruption
 * @param extraUse tokens computed over tokens delivered, less one
 * @param goodputPerSecond whole answers within their deadline
 * @param fairness Jain's index over the workspaces
 * @param hitRate the share of prefix tokens that were cached
 * @param sent requests sent
 * @param completed whole answers
 * @param refused refusals
 * @param wrong wrong or repeated tokens, double runs and untrue verdicts
 */
record RunResult(
    double firstTokenP50Ms,
    double firstTokenP95Ms,
    double betweenTokensP95Ms,
    long interruptions,
    double interruptionP50Ms,
    double interruptionP99Ms,
    double longestGapMs,
    double extraUse,
    double goodputPerSecond,
    double fairness,
    double hitRate,
    long sent,
    long completed,
    long refused,
    long wrong) {

  /** Reads the report of the load tool. */
  static RunResult of(JsonNode report) {
    List<JsonNode> classes = new ArrayList<>();
    report.path("classes").forEach(classes::add);
    return new RunResult(
        max(classes, "/latencies/first_token/p50_ms"),
        max(classes, "/latencies/first_token/p95_ms"),
        max(classes, "/latencies/between_tokens/p95_ms"),
        (long) sum(classes, "/latencies/interruptions/count"),
        max(classes, "/latencies/interruptions/p50_ms"),
        max(classes, "/latencies/interruptions/p99_ms"),
        max(classes, "/latencies/interruptions/max_ms"),
        report.at("/engines/extra_use").asDouble(),
        report.path("goodput_per_second").asDouble(),
        report.path("fairness").asDouble(),
        report.at("/engines/prefix_hit_rate").asDouble(),
        (long) sum(classes, "/outcomes/sent"),
        (long) sum(classes, "/outcomes/completed"),
        (long) sum(classes, "/outcomes/refused"),
        wrong(report, classes));
  }

  private static long wrong(JsonNode report, List<JsonNode> classes) {
    double tokens = sum(classes, "/integrity/mismatches") + sum(classes, "/integrity/duplicates");
    double actions =
        report.at("/actions/double_runs").asDouble()
            + report.at("/actions/ran_though_refused").asDouble()
            + report.at("/actions/missing_runs").asDouble();
    return (long) (tokens + actions);
  }

  private static double sum(List<JsonNode> classes, String pointer) {
    return classes.stream().mapToDouble(node -> node.at(pointer).asDouble(0)).sum();
  }

  private static double max(List<JsonNode> classes, String pointer) {
    return classes.stream().mapToDouble(node -> node.at(pointer).asDouble(0)).max().orElse(0);
  }
}
