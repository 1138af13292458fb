package org.galenapost.core.retry;

import java.util.Objects;
import org.galenapost.core.verdict.Verdict;

/**
 * A failed attempt that may be retried.
 *
 * @param workspace the workspace whose retry budget is charged
 * @param number the attempt number, starting at 1
 * @param verdict whether the attempt may have run
 * @param isIdempotent whether the request may safely run more than once
 * @param reason the cause of the failure
 * @param deadlineNanos the caller's deadline on the monotonic clock, in nanoseconds
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
