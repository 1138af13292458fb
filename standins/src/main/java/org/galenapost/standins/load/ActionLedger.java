package org.galenapost.standins.load;

import java.util.HashMap;
import java.util.Map;
import org.galenapost.standins.load.LoadReport.ActionCheck;

/** Records the outcome reported to callers for each action, by idempotency key. Thread-safe. */
final class ActionLedger {

  private final Map<String, ReportedOutcome> outcomeByKey = new HashMap<>();

  synchronized void recordSent(String key) {
    outcomeByKey.put(key, ReportedOutcome.NOT_RUN);
  }

  synchronized void recordMayHaveRun(String key) {
    outcomeByKey.computeIfPresent(
        key,
        (k, outcome) -> outcome == ReportedOutcome.RAN ? outcome : ReportedOutcome.MAY_HAVE_RUN);
  }

  synchronized void recordRan(String key) {
    outcomeByKey.computeIfPresent(key, (k, outcome) -> ReportedOutcome.RAN);
  }

  /** Compares the outcomes reported to callers with the runs counted by the services. */
  synchronized ActionCheck check(ServiceRuns counted) {
    long runs = 0;
    long doubleRuns = 0;
    long ranThoughRefused = 0;
    long missingRuns = 0;
    for (Map.Entry<String, ReportedOutcome> entry : outcomeByKey.entrySet()) {
      long count = counted.runsByKey().getOrDefault(entry.getKey(), 0L);
      runs += count;
      doubleRuns += count > 1 ? 1 : 0;
      ranThoughRefused += count > 0 && entry.getValue() == ReportedOutcome.NOT_RUN ? 1 : 0;
      missingRuns += count == 0 && entry.getValue() == ReportedOutcome.RAN ? 1 : 0;
    }
    return new ActionCheck(
        outcomeByKey.size(),
        runs,
        doubleRuns,
        ranThoughRefused,
        missingRuns,
        counted.unreadServices());
  }

  private enum ReportedOutcome {
    NOT_RUN,
    MAY_HAVE_RUN,
    RAN
  }
}
