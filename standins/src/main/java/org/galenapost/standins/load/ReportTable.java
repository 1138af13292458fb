package org.galenapost.standins.load;

import java.util.Locale;

/** Formats a report as plain text. */
final class ReportTable {

  private static final String ROW = "%-18s %-14s %8s %8s %8s %8s %8s %8s%n";
  private static final String LATENCY_ROW = "%-18s %-14s %8d %8.1f %8.1f %8.1f %8.1f%n";

  private ReportTable() {}

  static String of(LoadReport report) {
    StringBuilder text = new StringBuilder();
    addOutcomes(text, report);
    addLatencies(text, report);
    addRefusals(text, report);
    addTotals(text, report);
    return text.toString();
  }

  private static void addOutcomes(StringBuilder text, LoadReport report) {
    add(text, ROW, "class", "workspace", "sent", "whole", "late", "refused", "broken", "open");
    for (ClassReport classReport : report.classes()) {
      ClassReport.Outcomes outcomes = classReport.outcomes();
      add(
          text,
          ROW,
          classReport.name(),
          classReport.workspace(),
          outcomes.sent(),
          outcomes.completed(),
          outcomes.late(),
          outcomes.refused(),
          outcomes.broken(),
          outcomes.unfinished());
    }
  }

  private static void addLatencies(StringBuilder text, LoadReport report) {
    add(text, "%n%-18s %-14s %8s %8s %8s %8s %8s%n", headings());
    for (ClassReport classReport : report.classes()) {
      Latencies.Summary latencies = classReport.latencies();
      addLatency(text, classReport.name(), "first-token", latencies.firstToken());
      addLatency(text, classReport.name(), "between-tokens", latencies.betweenTokens());
      addLatency(text, classReport.name(), "interruptions", latencies.interruptions());
      addLatency(text, classReport.name(), "longest-gap", latencies.longestGap());
      addLatency(text, classReport.name(), "total", latencies.total());
    }
  }

  private static Object[] headings() {
    return new Object[] {"class", "latency (ms)", "count", "p50", "p95", "p99", "max"};
  }

  private static void addLatency(
      StringBuilder text, String name, String latency, LatencySummary summary) {
    if (summary.count() > 0) {
      add(
          text,
          LATENCY_ROW,
          name,
          latency,
          summary.count(),
          summary.p50Ms(),
          summary.p95Ms(),
          summary.p99Ms(),
          summary.maxMs());
    }
  }

  private static void addRefusals(StringBuilder text, LoadReport report) {
    text.append(System.lineSeparator());
    for (ClassReport classReport : report.classes()) {
      for (Refusals refusals : classReport.refusals()) {
        add(
            text,
            "%-18s refused reason=%s verdict=%s count=%d%n",
            classReport.name(),
            refusals.reason(),
            refusals.verdict(),
            refusals.count());
      }
    }
  }

  private static void addTotals(StringBuilder text, LoadReport report) {
    for (ClassReport classReport : report.classes()) {
      ClassReport.Integrity integrity = classReport.integrity();
      add(
          text,
          "%-18s mismatches=%d duplicates=%d reconnects=%d new_generations=%d%n",
          classReport.name(),
          integrity.mismatches(),
          integrity.duplicates(),
          integrity.reconnects(),
          integrity.newGenerations());
    }
    add(
        text,
        "goodput_per_second=%.2f fairness=%.3f%n",
        report.goodputPerSecond(),
        report.fairness());
    LoadReport.EngineWork work = report.engines();
    add(
        text,
        "engines generated=%d delivered=%d extra_use=%.4f prefill=%d hit_rate=%.3f cancelled=%d%n",
        work.tokensGenerated(),
        work.tokensDelivered(),
        work.extraUse(),
        work.prefillTokens(),
        work.prefixHitRate(),
        work.cancelled());
    LoadReport.ActionCheck actions = report.actions();
    add(
        text,
        "actions keys=%d runs=%d double_runs=%d ran_though_refused=%d missing_runs=%d unread=%d%n",
        actions.keys(),
        actions.runs(),
        actions.doubleRuns(),
        actions.ranThoughRefused(),
        actions.missingRuns(),
        actions.unreadServices());
  }

  private static void add(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values));
  }
}
