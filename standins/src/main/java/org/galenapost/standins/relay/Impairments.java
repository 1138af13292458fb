package org.galenapost.standins.relay;

import java.util.EnumSet;
import java.util.Set;

/** The network faults that a relay applies to its connections. Not safe for threads. */
public final class Impairments {

  private final Set<Direction> blockedDirections = EnumSet.noneOf(Direction.class);
  private long delayMs;
  private boolean dropsResponses;

  /** Holds back all bytes of one direction until the impairments are cleared. */
  public void block(Direction direction) {
    blockedDirections.add(direction);
  }

  /** Delays all bytes in both directions; 0 removes the delay. */
  public void setDelayMs(long newDelayMs) {
    delayMs = newDelayMs;
  }

  /** Discards all bytes from the target. */
  public void dropResponses() {
    dropsResponses = true;
  }

  /** Clears all impairments. */
  public void clear() {
    blockedDirections.clear();
    delayMs = 0;
    dropsResponses = false;
  }

  boolean isBlocked(Direction direction) {
    return blockedDirections.contains(direction);
  }

  long delayMs() {
    return delayMs;
  }

  boolean drops(Direction direction) {
    return dropsResponses && direction == Direction.FROM_TARGET;
  }
}
