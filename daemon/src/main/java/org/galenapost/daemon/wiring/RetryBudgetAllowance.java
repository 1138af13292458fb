package org.galenapost.daemon.wiring;

import java.time.Duration;
import org.galenapost.core.recovery.RetryAllowance;
import org.galenapost.core.retry.FailedAttempt;
import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.retry.RetryReason;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Verdict;

/** Draws additional attempts at generations on the retry budgets. */
final class RetryBudgetAllowance implements RetryAllowance {

  private static final Duration NO_DEADLINE = Duration.ofDays(1);

  private final RetryBudget budget;
  private final MonotonicClock clock;

  RetryBudgetAllowance(RetryBudget budget, MonotonicClock clock) {
    this.budget = budget;
    this.clock = clock;
  }

  @Override
  public void onFirstAttempt(String workspace) {
    budget.onFirstAttempt(workspace);
  }

  @Override
  public boolean tryTake(String workspace) {
    long deadlineNanos = clock.nanos() + NO_DEADLINE.toNanos();
    FailedAttempt attempt =
        new FailedAttempt(
            workspace, 1, Verdict.MAY_HAVE_RUN, true, RetryReason.SERVER_LOST, deadlineNanos);
    return budget.retry(attempt).isRight();
  }
}
