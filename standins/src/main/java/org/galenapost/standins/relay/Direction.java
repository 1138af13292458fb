package org.galenapost.standins.relay;

/** The direction of bytes through a relay. */
public enum Direction {
  /** From the client to the target. */
  TO_TARGET,
  /** From the target to the client. */
  FROM_TARGET
}
