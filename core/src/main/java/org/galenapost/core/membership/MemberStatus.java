package org.galenapost.core.membership;

/** The status of a daemon as another daemon sees it. */
public enum MemberStatus {
  /** Responds, or is listed and not yet suspected. */
  ALIVE,
  /** Does not respond; can still refute the suspicion. */
  SUSPECTED,
  /** Did not refute a suspicion before the timeout. */
  LOST,
  /** Announced its shutdown. */
  LEFT;

  /** Returns whether the daemon is alive or only suspected, and so still used as a peer. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECTED;
  }
}
