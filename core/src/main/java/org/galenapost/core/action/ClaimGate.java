package org.galenapost.core.action;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.verdict.Refusal;

/** Grants the permit to send an action after its claim is stored in the platform's object API. */
public final class ClaimGate implements ActionGate {

  private static final Duration FIRST_RELEASE_DELAY = Duration.ofSeconds(1);
  private static final Duration SECOND_RELEASE_DELAY = Duration.ofSeconds(60);

  private final String ownId;
  private final ClaimSubmitter claims;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final Supplier<String> newAttemptId;

  /**
   * Creates a gate.
   *
   * @param ownId the id of this daemon, which holds the claims
   * @param claims applies operations on claims
   * @param scheduler schedules the release of claims with unknown result
   * @param clock the monotonic clock
   * @param wallClock the wall clock
   * @param newAttemptId generates attempt ids that are unique across daemons
   */
  public ClaimGate(
      String ownId,
      ClaimSubmitter claims,
      Scheduler scheduler,
      MonotonicClock clock,
      InstantSource wallClock,
      Supplier<String> newAttemptId) {
    this.ownId = Objects.requireNonNull(ownId, "ownId");
    this.claims = Objects.requireNonNull(claims, "claims");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    this.newAttemptId = Objects.requireNonNull(newAttemptId, "newAttemptId");
  }

  @Override
  public CompletionStage<Either<Refusal, ActionDecision>> claim(ActionIdentity identity) {
    long claimedNanos = clock.nanos();
    Instant claimedAt = wallClock.instant();
    ClaimOperation.Acquire acquire =
        new ClaimOperation.Acquire(
            identity.workspace(),
            identity.key(),
            identity.bodyDigest(),
            identity.service(),
            newAttemptId.get(),
            ownId,
            claimedAt);
    return claims.submit(acquire).thenApply(result -> decide(acquire, claimedNanos, result));
  }

  private Either<Refusal, ActionDecision> decide(
      ClaimOperation.Acquire acquire, long claimedNanos, ClaimResult result) {
    if (result instanceof ClaimResult.Done) {
      ClaimedAction permit = new ClaimedAction(acquire, claims, clock, claimedNanos, wallClock);
      return Either.right(new ActionDecision.Send(permit));
    }
    if (result instanceof ClaimResult.Recorded recorded) {
      return Either.right(new ActionDecision.Recorded(recorded.answer()));
    }
    if (result instanceof ClaimResult.Refused refused) {
      return Either.left(refused.refusal());
    }
    releaseLater(acquire);
    return Either.left(ClaimRefusals.platformUnavailable("its answer was lost; nothing was sent"));
  }

  /**
   * Releases a claim that may be stored although this daemon will not send the request. The second
   * release covers a write that was still in flight during the first.
   */
  private void releaseLater(ClaimOperation.Acquire acquire) {
    ClaimOperation.Release release =
        new ClaimOperation.Release(acquire.workspace(), acquire.key(), acquire.attemptId());
    scheduler.schedule(FIRST_RELEASE_DELAY, () -> claims.submit(release));
    scheduler.schedule(SECOND_RELEASE_DELAY, () -> claims.submit(release));
  }
}
