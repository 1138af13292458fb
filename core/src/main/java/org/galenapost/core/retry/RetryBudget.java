package org.galenapost.core.retry;

import io.vavr.control.Either;
import java.time.Duration;
import org.galenapost.core.verdict.Refusal;

/** Decides whether a failed attempt is retried. */
public interface RetryBudget {

  /** Records a first attempt, which adds a fraction of a retry to the budget. */
  void onFirstAttempt(String workspace);

  /**
   * Decides whether one failed attempt is retried.
   *
   * @return the delay before the next attempt, or the refusal to return to the caller
   */
  Either<Refusal, Duration> retry(FailedAttempt attempt);
}
