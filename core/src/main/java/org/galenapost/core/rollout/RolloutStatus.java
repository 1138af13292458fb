package org.galenapost.core.rollout;

import java.util.Objects;

/**
 * The status of a roll-out in the store.
 *
 * @param state the state's name; {@link RolloutState#of} reads it
 * @param target the version that the status is about
 * @param beganEpochMs when the roll-out began, in milliseconds of the time of day
 * @param reason why the state was entered, in words for the operator
 */
public record RolloutStatus(String state, String target, long beganEpochMs, String reason) {

  /** Replaces absent texts by empty ones, since a status may be written by other programs. */
  public RolloutStatus {
    state = Objects.requireNonNullElse(state, "");
    target = Objects.requireNonNullElse(target, "");
    reason = Objects.requireNonNullElse(reason, "");
  }

  /** Returns whether the status names a state for a version. */
  boolean is(RolloutState expected, String version) {
    return state.equals(expected.wireName()) && target.equals(version);
  }
}
