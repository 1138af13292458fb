package org.galenapost.standins.relay;

import java.util.EnumSet;
import java.util.Set;

/** What a relay does to the bytes that pass. Not safe for threads. */
public final class Impairments {

  private final Set<Direction> blockedDirections = EnumSet.noneOf(Direction.class);
  private long delayMs;
  private boolean dropsResponses;

  /** Holds all bytes of one direction back until the relay is healed. */
  public void block(Direction direction) {
    blockedDirections.add(direction);
  }

  /** Delays all bytes. */
  public void setDelayMs(long newDelayMs) {
    delayMs = newDelayMs;
  }

  /** Throws away all bytes from the target. */
  public void dropResponses() {
    dropsResponses = true;
  }

  /** Ends all impairments. */
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
