package org.galenapost.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.testing.VirtualTime;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;

class RetryBudgetsProperties {

  private static final RetrySettings SETTINGS = RetrySettings.defaults();

  private final VirtualTime time = new VirtualTime();
  private final RetryBudgets budgets =
      new RetryBudgets(time, SETTINGS, new SplittableRandom(5), RetryListener.NONE);

  private FailedAttempt failed(int number, Verdict verdict, boolean isIdempotent) {
    long deadlineNanos = time.nanos() + Duration.ofMinutes(1).toNanos();
    return new FailedAttempt(
        "w", number, verdict, isIdempotent, RetryReason.SERVER_LOST, deadlineNanos);
  }

  @Property(tries = 20, seed = "31")
  void retriesStayWithinDaemonBudgetWhenEveryRequestFails(
      @ForAll @IntRange(min = 100, max = 3000) int requests) {
    RetryBudgets fresh =
        new RetryBudgets(time, SETTINGS, new SplittableRandom(5), RetryListener.NONE);
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      fresh.onFirstAttempt("w");
      for (int attempt = 1; fresh.retry(failed(attempt, Verdict.NOT_RUN, true)).isRight(); ) {
        attempt++;
        retries++;
      }
    }

    double maxRetries = SETTINGS.daemonBurst() + requests * SETTINGS.daemonTokensPerRequest();
    assertThat(retries).isLessThanOrEqualTo((int) maxRetries + 1);
  }

  @Example
  void nonIdempotentRequestThatMayHaveRunIsNotRetried() {
    assertThat(budgets.retry(failed(1, Verdict.MAY_HAVE_RUN, false)).getLeft().verdict())
        .isEqualTo(Verdict.MAY_HAVE_RUN);
    assertThat(budgets.retry(failed(1, Verdict.RAN, true)).isLeft()).isTrue();
    assertThat(budgets.retry(failed(1, Verdict.MAY_HAVE_RUN, true)).isRight()).isTrue();
    assertThat(budgets.retry(failed(1, Verdict.NOT_RUN, false)).isRight()).isTrue();
  }

  @Example
  void exhaustedBudgetReturnsRetryAfter() {
    for (int i = 0; i < 100; i++) {
      budgets.retry(failed(1, Verdict.NOT_RUN, true));
    }

    var refusal = budgets.retry(failed(1, Verdict.NOT_RUN, true)).getLeft();

    assertThat(refusal.reason()).isEqualTo(RefusalReason.RETRY_BUDGET_SPENT);
    assertThat(refusal.retryAfter().orElseThrow()).isPositive();
  }

  @Example
  void exhaustedWorkspaceBudgetDoesNotBlockOtherWorkspaces() {
    for (int i = 0; i < 100; i++) {
      budgets.retry(failed(1, Verdict.NOT_RUN, true));
    }
    FailedAttempt other =
        new FailedAttempt(
            "small", 1, Verdict.NOT_RUN, true, RetryReason.CONNECT_FAILED, Long.MAX_VALUE);

    assertThat(budgets.retry(other).isRight()).isTrue();
  }
}
