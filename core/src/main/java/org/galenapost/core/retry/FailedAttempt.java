package org.galenapost.core.retry;

import java.util.Objects;
import org.galenapost.core.verdict.Verdict;

/**
 * An attempt that failed and might be repeated.
 *
 * @param workspace the workspace that pays for the retry
 * @param number the number of the attempt, counted from 1
 * @param verdict whether the attempt may have run
 * @param isIdempotent whether the request may run more than once
 * @param reason what made it fail
 * @param deadlineNanos when the caller stops waiting, as a reading of the monotonic clock
 */
public record FailedAttempt(
    String workspace,
    int number,
    Verdict verdict,
    boolean isIdempotent,
    RetryReason reason,
    long deadlineNanos) {

  /** Checks the arguments. */
  public FailedAttempt {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(verdict, "verdict");
    Objects.requireNonNull(reason, "reason");
    if (number < 1) {
      throw new IllegalArgumentException("number must be at least 1, but was " + number);
    }
  }

  boolean isSafeToRetry() {
    return switch (verdict) {
      case NOT_RUN -> true;
      case MAY_HAVE_RUN -> isIdempotent;
      case RAN -> false;
    };
  }
}
