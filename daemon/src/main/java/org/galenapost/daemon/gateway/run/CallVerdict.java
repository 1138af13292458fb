package org.galenapost.daemon.gateway.run;

import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;

/** Knows whether a server may have run a call, and makes each refusal of the call true. */
final class CallVerdict {

  private final CallTiming timing;
  private boolean mayHaveRun;

  CallVerdict(CallTiming timing) {
    this.timing = timing;
  }

  /** Records that a server may have started to run the call. */
  void recordPossibleRun() {
    mayHaveRun = true;
  }

  /** Returns whether it is certain that no server has started to run the call. */
  boolean isNotRun() {
    return !mayHaveRun;
  }

  /**
   * Keeps the verdict "not run" only if no server can have started to run the call, and adds when
   * to come back if that can help.
   */
  Refusal accurate(Refusal refusal) {
    if (refusal.verdict() != Verdict.NOT_RUN) {
      return refusal;
    }
    if (mayHaveRun) {
      return Refusal.mayHaveRun(RefusalReason.SERVER_LOST, refusal.detail());
    }
    boolean canReturnHelp = refusal.reason() != RefusalReason.STREAM_VERSION_UNAVAILABLE;
    if (refusal.retryAfter().isPresent() || !canReturnHelp) {
      return refusal;
    }
    return refusal.withRetryAfter(
        refusal.reason() == RefusalReason.QUEUE_FULL
            ? timing.untilRoom()
            : timing.whileNothingIsKnown());
  }
}
