package org.galenapost.core.loss;

import java.time.Duration;

/** The action to take after checking one attempt for silence. */
public sealed interface LossDecision {

  /** The silence is within bounds; check again after a delay. */
  record Wait(Duration delay) implements LossDecision {}

  /**
   * The silence exceeds its bound: send a probe on another connection and check again after a
   * delay.
   *
   * @param isNew whether this is the first probe of the current silence
   */
  record Probe(boolean isNew, Duration delay) implements LossDecision {}

  /** The attempt is considered lost. */
  record Lost(LossReason reason) implements LossDecision {}
}
