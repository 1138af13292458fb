package org.galenapost.core.action;

import java.util.Objects;

/** The decision on an action after the attempt to claim it. */
public sealed interface ActionDecision {

  /**
   * This attempt holds the claim and may send the request once.
   *
   * @param permit the permit to send the request
   */
  record Send(ActionPermit permit) implements ActionDecision {
    /** Checks that the permit is present. */
    public Send {
      Objects.requireNonNull(permit, "permit");
    }
  }

  /**
   * The action has already run; the caller gets the recorded response and nothing is sent.
   *
   * @param answer the recorded response
   */
  record Recorded(ActionAnswer answer) implements ActionDecision {
    /** Checks that the answer is present. */
    public Recorded {
      Objects.requireNonNull(answer, "answer");
    }
  }
}
