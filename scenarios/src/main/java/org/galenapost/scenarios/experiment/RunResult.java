package org.galenapost.scenarios.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The results of one run. Each latency is the maximum over the classes of requests.
 *
 * @param firstTokenP50Ms the median time to the first token
 * @param firstTokenP95Ms the 95th percentile of the time to the first token
 * @param betweenTokensP95Ms the 95th percentile of the time between tokens
 * @param interruptions the number of interruptions of streams
 * @param interruptionP50Ms the median interruption
 * @param interruptionP99Ms the 99th percentile of interruptions
 * @param longestGapMs the longest interruption
 * @param extraUse the ratio of generated to delivered tokens, minus 1
 * @param goodputPerSecond answers completed within their deadline, per second
 * @param fairness Jain's fairness index over the workspaces
 * @param hitRate the ratio of cached prefix tokens to all prefix tokens
 * @param sent requests sent
 * @param completed completed requests
 * @param refused refused requests
 * @param wrong wrong or duplicate tokens, and actions that ran twice or against the reported
 *     verdict
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

  /** Extracts the results from the JSON report of the load tool. */
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
