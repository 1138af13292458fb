package org.galenapost.core.action;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;

/** Decides what an operation does to a bucket; the same for every daemon and every retry. */
final class ClaimRules {

  /** How long a claim without an outcome counts as in progress. */
  static final Duration IN_PROGRESS_LIMIT = Duration.ofMinutes(10);

  /** How old a claim must be before an operator may settle it as not run. */
  static final Duration MIN_AGE_TO_SETTLE = Duration.ofSeconds(60);

  private static final int MAX_BYTES_WITH_CLAIMS = 800_000;
  private static final int MAX_BYTES_WITH_ANSWERS = 900_000;

  private final Predicate<String> isDaemonAlive;

  /**
   * Creates the rules.
   *
   * @param isDaemonAlive says whether a daemon is believed to be alive
   */
  ClaimRules(Predicate<String> isDaemonAlive) {
    this.isDaemonAlive = isDaemonAlive;
  }

  /**
   * Applies an operation.
   *
   * @param isExpired whether the operation's key was used so long ago that its claim was dropped
   */
  Transition apply(ClaimBucket bucket, ClaimOperation operation, Instant now, boolean isExpired) {
    Optional<Claim> found = bucket.find(operation.workspace(), operation.key());
    if (operation instanceof ClaimOperation.Acquire acquire) {
      return found
          .map(claim -> meet(bucket, claim, acquire, now))
          .orElseGet(() -> add(bucket, acquire, isExpired));
    }
    if (operation instanceof ClaimOperation.RecordAnswer record) {
      return change(bucket, found, record.attemptId(), ran(bucket, record.answer()));
    }
    if (operation instanceof ClaimOperation.RecordUnknown record) {
      return found
          .filter(claim -> claim.state() == ClaimState.OPEN)
          .map(claim -> change(bucket, found, record.attemptId(), unknown()))
          .orElseGet(() -> Transition.unchanged(bucket, new ClaimResult.Done()));
    }
    if (operation instanceof ClaimOperation.Release release) {
      return release(bucket, found, release.attemptId());
    }
    return settle(bucket, found, operation, now);
  }

  private Transition meet(ClaimBucket bucket, Claim claim, ClaimOperation.Acquire acquire, Instant now) {
    if (claim.attemptId().equals(acquire.attemptId())) {
      return Transition.unchanged(bucket, new ClaimResult.Done());
    }
    if (!claim.bodyDigest().equals(acquire.bodyDigest())) {
      return Transition.unchanged(bucket, new ClaimResult.Refused(ClaimRefusals.keyReused()));
    }
    if (claim.state() == ClaimState.RAN) {
      return Transition.unchanged(
          bucket,
          claim
              .answer()
              .filter(answer -> answer.body().isPresent())
              .<ClaimResult>map(ClaimResult.Recorded::new)
              .orElseGet(() -> new ClaimResult.Refused(ClaimRefusals.alreadyRan())));
    }
    boolean isRecent = claim.claimedAt().plus(IN_PROGRESS_LIMIT).isAfter(now);
    boolean isHeld = claim.state() == ClaimState.OPEN && isDaemonAlive.test(claim.daemonId());
    boolean isInProgress = isHeld && isRecent;
    return Transition.unchanged(
        bucket,
        new ClaimResult.Refused(
            isInProgress ? ClaimRefusals.inProgress(claim) : ClaimRefusals.outcomeUnknown(claim)));
  }

  private static Transition add(ClaimBucket bucket, ClaimOperation.Acquire acquire, boolean isExpired) {
    if (isExpired) {
      return Transition.unchanged(bucket, new ClaimResult.Refused(ClaimRefusals.keyExpired()));
    }
    Claim claim =
        new Claim(
            acquire.workspace(),
            acquire.key(),
            acquire.bodyDigest(),
            acquire.service(),
            acquire.attemptId(),
            acquire.daemonId(),
            acquire.claimedAt(),
            ClaimState.OPEN,
            Optional.empty());
    if (bucket.estimatedBytes() + claim.estimatedBytes() > MAX_BYTES_WITH_CLAIMS) {
      return Transition.unchanged(bucket, new ClaimResult.Refused(ClaimRefusals.bucketFull()));
    }
    return new Transition(bucket.with(claim), new ClaimResult.Done(), true);
  }

  private static ClaimChange ran(ClaimBucket bucket, ActionAnswer answer) {
    boolean isNearlyFull = bucket.estimatedBytes() > MAX_BYTES_WITH_ANSWERS;
    Optional<ActionAnswer> kept = isNearlyFull ? Optional.empty() : Optional.of(answer);
    return claim -> claim.withState(ClaimState.RAN, kept);
  }

  private static ClaimChange unknown() {
    return claim -> claim.withState(ClaimState.UNKNOWN, Optional.empty());
  }

  private static Transition change(
      ClaimBucket bucket, Optional<Claim> found, String attemptId, ClaimChange change) {
    return found
        .filter(claim -> claim.attemptId().equals(attemptId))
        .filter(claim -> claim.state().isOpen())
        .map(claim -> new Transition(bucket.with(change.of(claim)), new ClaimResult.Done(), true))
        .orElseGet(() -> Transition.unchanged(bucket, new ClaimResult.Done()));
  }

  private static Transition release(ClaimBucket bucket, Optional<Claim> found, String attemptId) {
    return found
        .filter(claim -> claim.attemptId().equals(attemptId))
        .filter(claim -> claim.state() == ClaimState.OPEN)
        .map(claim -> new Transition(bucket.without(claim::equals), new ClaimResult.Done(), true))
        .orElseGet(() -> Transition.unchanged(bucket, new ClaimResult.Done()));
  }

  private Transition settle(
      ClaimBucket bucket, Optional<Claim> found, ClaimOperation operation, Instant now) {
    if (found.isEmpty() || !found.get().state().isOpen()) {
      return Transition.unchanged(bucket, new ClaimResult.Refused(ClaimRefusals.noSuchClaim()));
    }
    Claim claim = found.get();
    if (operation instanceof ClaimOperation.SettleRan) {
      Claim settled = claim.withState(ClaimState.RAN, Optional.empty());
      return new Transition(bucket.with(settled), new ClaimResult.Done(), true);
    }
    boolean isYoung = claim.claimedAt().plus(MIN_AGE_TO_SETTLE).isAfter(now);
    boolean isHeld = claim.state() == ClaimState.OPEN && isDaemonAlive.test(claim.daemonId());
    if (isYoung || isHeld) {
      return Transition.unchanged(bucket, new ClaimResult.Refused(ClaimRefusals.stillHeld(claim)));
    }
    return new Transition(bucket.without(claim::equals), new ClaimResult.Done(), true);
  }

  /**
   * What an operation does.
   *
   * @param bucket the bucket afterwards
   * @param result the result, valid once the bucket afterwards stands
   * @param isChange whether the bucket must be written
   */
  record Transition(ClaimBucket bucket, ClaimResult result, boolean isChange) {

    static Transition unchanged(ClaimBucket bucket, ClaimResult result) {
      return new Transition(bucket, result, false);
    }
  }

  /** Changes one claim. */
  @FunctionalInterface
  private interface ClaimChange {
    Claim of(Claim claim);
  }
}
