package org.galenapost.core.action;

/** The state of a claimed action. */
public enum ClaimState {
  /** The holder may send the request or has sent it. */
  OPEN,
  /** The holder sent the request and got no response. */
  UNKNOWN,
  /** The backend server responded. */
  RAN;

  /** Returns whether no outcome is recorded, so that the action may have run. */
  public boolean isOpen() {
    return this != RAN;
  }
}
