package org.galenapost.daemon.generation;

import org.galenapost.core.loss.LossSettings;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.recovery.ResumePacer;

/**
 * The mechanisms that protect long streams. Each can be replaced by itself, to measure its effect.
 *
 * @param loss the settings of loss detection
 * @param stallGuard detects stalls of this process, which look like silence of the servers
 * @param requestGuard isolates or refuses requests that crash servers
 * @param pacer limits concurrent resumes after the loss of many streams
 * @param continuation the position from which a generation resumes after a loss
 */
public record GenerationMechanisms(
    LossSettings loss,
    StallGuard stallGuard,
    RequestGuard requestGuard,
    ResumePacer pacer,
    Continuation continuation) {

  /** Returns a copy with other settings of loss detection. */
  public GenerationMechanisms withLoss(LossSettings other) {
    return new GenerationMechanisms(other, stallGuard, requestGuard, pacer, continuation);
  }

  /** Returns a copy with another stall guard. */
  public GenerationMechanisms withStallGuard(StallGuard other) {
    return new GenerationMechanisms(loss, other, requestGuard, pacer, continuation);
  }

  /** Returns a copy with another request guard. */
  public GenerationMechanisms withRequestGuard(RequestGuard other) {
    return new GenerationMechanisms(loss, stallGuard, other, pacer, continuation);
  }

  /** Returns a copy with another pacer. */
  public GenerationMechanisms withPacer(ResumePacer other) {
    return new GenerationMechanisms(loss, stallGuard, requestGuard, other, continuation);
  }

  /** Returns a copy with another continuation. */
  public GenerationMechanisms withContinuation(Continuation other) {
    return new GenerationMechanisms(loss, stallGuard, requestGuard, pacer, other);
  }
}
