package org.galenapost.core.rollout;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The state of a roll-out, as its status names it. */
public enum RolloutState {
  /** The target is on trial, or traffic moves to it. */
  ACTIVE,
  /** All traffic goes to the target, and the servers of other versions may stop. */
  COMPLETED,
  /** No traffic goes to the target. */
  REVERTED;

  /** Returns the name in the status. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the state of a name, empty if the name is not known. */
  public static Optional<RolloutState> of(String wireName) {
    return Arrays.stream(values()).filter(state -> state.wireName().equals(wireName)).findFirst();
  }
}
