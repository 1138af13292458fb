package org.galenapost.core.action;

import java.time.Duration;
import java.time.InstantSource;
import org.galenapost.core.time.MonotonicClock;

/**
 * The right to send a claimed action once, within a limit after the claim was asked for. The limit
 * is far below the age at which an operator may settle a claim as not run, so a daemon that was
 * paused in between does not send what others hold to be over. Both clocks are read, because either
 * may stand still while the machine is suspended.
 */
final class ClaimedAction implements ActionPermit {

  /** How long after the claim was asked for the request may still be sent. */
  static final Duration SEND_LIMIT = Duration.ofSeconds(10);

  private final ClaimOperation.Acquire claim;
  private final ClaimSubmitter claims;
  private final MonotonicClock clock;
  private final long claimedNanos;
  private final InstantSource wallClock;
  private Phase phase = Phase.CLAIMED;

  ClaimedAction(
      ClaimOperation.Acquire claim,
      ClaimSubmitter claims,
      MonotonicClock clock,
      long claimedNanos,
      InstantSource wallClock) {
    this.claim = claim;
    this.claims = claims;
    this.clock = clock;
    this.claimedNanos = claimedNanos;
    this.wallClock = wallClock;
  }

  @Override
  public String attemptId() {
    return claim.attemptId();
  }

  @Override
  public boolean trySend() {
    synchronized (this) {
      if (phase != Phase.CLAIMED) {
        return false;
      }
      if (!isLate()) {
        phase = Phase.SENT;
        return true;
      }
    }
    release();
    return false;
  }

  @Override
  public void recordAnswer(ActionAnswer answer) {
    if (enterEnded()) {
      claims.submit(
          new ClaimOperation.RecordAnswer(
              claim.workspace(), claim.key(), claim.attemptId(), answer));
    }
  }

  @Override
  public void recordOutcomeUnknown() {
    if (enterEnded()) {
      claims.submit(
          new ClaimOperation.RecordUnknown(claim.workspace(), claim.key(), claim.attemptId()));
    }
  }

  @Override
  public void release() {
    synchronized (this) {
      if (phase != Phase.CLAIMED) {
        return;
      }
      phase = Phase.ENDED;
    }
    claims.submit(new ClaimOperation.Release(claim.workspace(), claim.key(), claim.attemptId()));
  }

  private synchronized boolean enterEnded() {
    if (phase == Phase.CLAIMED) {
      throw new IllegalStateException("attempt " + attemptId() + " was not sent");
    }
    boolean isFirst = phase == Phase.SENT;
    phase = Phase.ENDED;
    return isFirst;
  }

  private boolean isLate() {
    Duration elapsed = clock.since(claimedNanos);
    Duration wallElapsed = Duration.between(claim.claimedAt(), wallClock.instant()).abs();
    return elapsed.compareTo(SEND_LIMIT) > 0 || wallElapsed.compareTo(SEND_LIMIT) > 0;
  }

  /** How far the action has come. */
  private enum Phase {
    CLAIMED,
    SENT,
    ENDED
  }
}
