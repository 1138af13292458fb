package org.galenapost.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.galenapost.core.time.MonotonicClock;

/** Sums the demand of the workspaces that hash to this daemon. Reports of lost daemons expire. */
final class DemandAggregator {

  private static final Duration REPORT_TIME_TO_LIVE = Duration.ofSeconds(30);

  private final MonotonicClock clock;
  private final Map<String, Map<String, TimedReport>> byWorkspace = new HashMap<>();

  DemandAggregator(MonotonicClock clock) {
    this.clock = clock;
  }

  synchronized List<WorkspaceDemand> onReport(String daemonId, List<WorkspaceDemand> demands) {
    long nowNanos = clock.nanos();
    demands.forEach(
        demand ->
            byWorkspace
                .computeIfAbsent(demand.workspace(), workspace -> new HashMap<>())
                .put(daemonId, new TimedReport(demand.tokens(), nowNanos)));
    return demands.stream().map(demand -> total(demand.workspace(), nowNanos)).toList();
  }

  /** Removes expired reports and workspaces without reports. */
  synchronized void expire() {
    long nowNanos = clock.nanos();
    byWorkspace.values().forEach(reports -> removeExpired(reports, nowNanos));
    byWorkspace.values().removeIf(Map::isEmpty);
  }

  private WorkspaceDemand total(String workspace, long nowNanos) {
    Map<String, TimedReport> reports = byWorkspace.get(workspace);
    removeExpired(reports, nowNanos);
    double sum = reports.values().stream().mapToDouble(TimedReport::tokens).sum();
    return new WorkspaceDemand(workspace, sum);
  }

  private static void removeExpired(Map<String, TimedReport> reports, long nowNanos) {
    reports
        .values()
        .removeIf(report -> nowNanos - report.atNanos() > REPORT_TIME_TO_LIVE.toNanos());
  }

  private record TimedReport(double tokens, long atNanos) {}
}
