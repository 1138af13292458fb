package org.galenapost.core.verdict;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes why a request is refused and whether it may have run.
 *
 * @param verdict whether the request may have run
 * @param reason the reason, counted in metrics once per refusal
 * @param detail one sentence for the caller
 * @param retryAfter the delay after which the caller may retry, if a retry can succeed
 */
public record Refusal(
    Verdict verdict, RefusalReason reason, String detail, Optional<Duration> retryAfter) {

  /** Checks that every part is present. */
  public Refusal {
    Objects.requireNonNull(verdict, "verdict");
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(retryAfter, "retryAfter");
  }

  /** Returns a refusal of a request that certainly did not run. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(Verdict.NOT_RUN, reason, detail, Optional.empty());
  }

  /** Returns a refusal of a request that may have run. */
  public static Refusal mayHaveRun(RefusalReason reason, String detail) {
    return new Refusal(Verdict.MAY_HAVE_RUN, reason, detail, Optional.empty());
  }

  /** Returns a copy with the delay after which the caller may retry. */
  public Refusal withRetryAfter(Duration delay) {
    return new Refusal(verdict, reason, detail, Optional.of(delay));
  }
}
