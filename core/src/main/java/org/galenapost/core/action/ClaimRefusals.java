package org.galenapost.core.action;

import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;

/** Creates the refusals of operations on claims. */
final class ClaimRefusals {

  private static final Duration RETRY_AFTER_IN_PROGRESS = Duration.ofSeconds(2);
  private static final Duration RETRY_AFTER_OPERATOR = Duration.ofMinutes(5);
  private static final Duration RETRY_AFTER_PLATFORM = Duration.ofSeconds(2);
  private static final Duration RETRY_AFTER_BUCKET = Duration.ofSeconds(60);
  private static final Duration RETRY_AFTER_TOO_LATE = Duration.ofSeconds(1);

  private ClaimRefusals() {}

  static Refusal keyReused() {
    return Refusal.notRun(
        RefusalReason.IDEMPOTENCY_KEY_REUSED,
        "the key was used before with another method, path or body; this request did not run");
  }

  static Refusal keyExpired() {
    return Refusal.mayHaveRun(
        RefusalReason.IDEMPOTENCY_KEY_EXPIRED,
        "the key was used too long ago for its answer to be kept; use a new key for a new action");
  }

  static Refusal inProgress(Claim claim) {
    return Refusal.mayHaveRun(
            RefusalReason.ACTION_IN_PROGRESS,
            "attempt " + claim.attemptId() + " at " + claim.daemonId() + " is in progress")
        .withRetryAfter(RETRY_AFTER_IN_PROGRESS);
  }

  static Refusal outcomeUnknown(Claim claim) {
    return Refusal.mayHaveRun(
            RefusalReason.ACTION_OUTCOME_UNKNOWN,
            "attempt " + claim.attemptId() + " got no answer; an operator has to settle it")
        .withRetryAfter(RETRY_AFTER_OPERATOR);
  }

  static Refusal alreadyRan() {
    return new Refusal(
        Verdict.RAN,
        RefusalReason.ACTION_ALREADY_RAN,
        "the action ran; its answer is not kept",
        Optional.empty());
  }

  static Refusal platformUnavailable(String detail) {
    return Refusal.notRun(
            RefusalReason.PLATFORM_UNAVAILABLE,
            "this request was not sent, as its claim could not be written: " + detail)
        .withRetryAfter(RETRY_AFTER_PLATFORM);
  }

  static Refusal bucketFull() {
    return Refusal.notRun(
            RefusalReason.CLAIM_BUCKET_FULL, "too many recent or open actions share this bucket")
        .withRetryAfter(RETRY_AFTER_BUCKET);
  }

  static Refusal tooLate() {
    return Refusal.notRun(
            RefusalReason.ACTION_TOO_LATE, "the daemon was held up between claim and sending")
        .withRetryAfter(RETRY_AFTER_TOO_LATE);
  }

  static Refusal noSuchClaim() {
    return Refusal.notRun(RefusalReason.NOT_FOUND, "no open claim with this workspace and key");
  }

  static Refusal stillHeld(Claim claim) {
    return Refusal.mayHaveRun(
            RefusalReason.ACTION_IN_PROGRESS,
            "attempt " + claim.attemptId() + " is held by " + claim.daemonId())
        .withRetryAfter(RETRY_AFTER_BUCKET);
  }
}
