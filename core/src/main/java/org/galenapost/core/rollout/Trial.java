package org.galenapost.core.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.time.MonotonicClock;

/**
 * What one daemon knows of the roll-out of one version. It is kept after the order has ended or was
 * withdrawn, so that the version's budget and a revert hold if the order is read again.
 */
final class Trial {

  /** Reports older than this say nothing about the streams in progress now. */
  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(3);

  private final MonotonicClock clock;
  private final ExposureBudget budget;
  private final Map<String, ReceivedReport> lastReports = new HashMap<>();
  private final Map<Reporter, RolloutMessage.Report> totals = new HashMap<>();
  private RolloutOrder order;
  private RolloutStage stage = RolloutStage.TRIAL;
  private String reason = "";
  private boolean isRefused;
  private RolloutResults ownResults = RolloutResults.NONE;
  private Optional<Long> leaseEndNanos = Optional.empty();
  private long elapsedMsAtBase;
  private long baseNanos;
  private long stageNanos;

  private record Reporter(String daemonId, long incarnation) {}

  private record ReceivedReport(RolloutMessage.Report report, long nanos) {}

  Trial(RolloutOrder order, ExposureBudget budget, MonotonicClock clock) {
    this.order = order;
    this.budget = budget;
    this.clock = clock;
    this.baseNanos = clock.nanos();
    this.stageNanos = baseNanos;
  }

  RolloutOrder order() {
    return order;
  }

  ExposureBudget budget() {
    return budget;
  }

  RolloutStage stage() {
    return stage;
  }

  String reason() {
    return reason;
  }

  /** Takes over an order for the same target, and the final state that its status may name. */
  void update(RolloutOrder newer) {
    order = newer;
    if (isStatus(RolloutState.COMPLETED)) {
      // The servers of the other versions stop at this status, whatever was decided since.
      stage = RolloutStage.COMPLETED;
    } else if (isStatus(RolloutState.REVERTED)) {
      enter(RolloutStage.REVERTED, order.status().map(RolloutStatus::reason).orElse(""));
    }
  }

  /** Returns whether the status in the store names a state for the target. */
  boolean isStatus(RolloutState state) {
    return order.status().filter(status -> status.is(state, order.target())).isPresent();
  }

  /** Enters a stage unless a final one has been reached. */
  void enter(RolloutStage next, String why) {
    if (!stage.isFinal() && stage.compareTo(next) < 0) {
      stage = next;
      reason = why;
      stageNanos = clock.nanos();
    }
  }

  /** Reverts a target that was not tried; a corrected order may try it. */
  void refuse(String why) {
    isRefused = true;
    enter(RolloutStage.REVERTED, why);
  }

  /** Returns whether a newer order corrects the one that was refused. */
  boolean isCorrectedBy(RolloutOrder newer) {
    return isRefused && (!newer.asksForSame(order) || newer.status().isEmpty());
  }

  /** Permits sends to the target for a time. */
  void extendLease(Duration lease) {
    leaseEndNanos = Optional.of(clock.nanos() + lease.toNanos());
  }

  /** Returns whether the target may be sent requests now. */
  boolean isLeased() {
    return leaseEndNanos.filter(end -> clock.nanos() - end < 0).isPresent();
  }

  /** Takes over the time since the beginning if another daemon has measured a longer one. */
  void raiseElapsed(long elapsedMs) {
    if (elapsedMs > elapsedMs()) {
      elapsedMsAtBase = elapsedMs;
      baseNanos = clock.nanos();
    }
  }

  long elapsedMs() {
    return elapsedMsAtBase + clock.since(baseNanos).toMillis();
  }

  /** Returns the part of the time limit that has passed. */
  double elapsedShare() {
    return elapsedMs() / (double) order.withinMs();
  }

  void record(boolean isTarget, String route, AnswerOutcome outcome, double firstEventMs) {
    ownResults = ownResults.plus(isTarget, route, outcome, firstEventMs);
  }

  RolloutResults ownResults() {
    return ownResults;
  }

  void onReport(String daemonId, RolloutMessage.Report report) {
    lastReports.put(daemonId, new ReceivedReport(report, clock.nanos()));
    totals.merge(
        new Reporter(daemonId, report.incarnation()),
        report,
        (held, received) -> received.sequence() > held.sequence() ? received : held);
  }

  /** Returns the results of all daemons that have reported, and of this one. */
  RolloutResults allResults() {
    return totals.values().stream()
        .map(RolloutMessage.Report::results)
        .reduce(ownResults, RolloutResults::plus);
  }

  /** Returns whether all daemons have reported since the shift that no other version has sends. */
  boolean areOthersIdle(Set<String> daemonIds) {
    return daemonIds.stream()
        .allMatch(
            id -> {
              ReceivedReport last = lastReports.get(id);
              return last != null
                  && last.nanos() - stageNanos >= 0
                  && clock.since(last.nanos()).compareTo(MAX_REPORT_AGE) < 0
                  && last.report().stage() == RolloutStage.SHIFTING
                  && last.report().othersInProgress() == 0;
            });
  }
}
