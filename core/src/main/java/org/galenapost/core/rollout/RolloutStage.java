package org.galenapost.core.rollout;

/** How far a roll-out has got, as the coordinator decides it. */
public enum RolloutStage {
  /** The target gets the share of requests that the exposure bound allows. */
  TRIAL,
  /** All new requests go to the target; streams at other versions are allowed to end. */
  SHIFTING,
  /** The target has all traffic. */
  COMPLETED,
  /** The target gets no traffic. */
  REVERTED;

  /** Returns whether the stage is never left. */
  boolean isFinal() {
    return this == COMPLETED || this == REVERTED;
  }
}
