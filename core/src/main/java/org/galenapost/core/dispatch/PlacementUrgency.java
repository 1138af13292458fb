package org.galenapost.core.dispatch;

import java.util.Set;

/**
 * How much of a server's memory and queue a call may fill, by its priority among those of the
 * routes of its service.
 *
 * @param fillShare the share of a server that may be in use with the call, above 0 and up to 1
 */
public record PlacementUrgency(double fillShare) {

  /** The urgency of a call that may fill a server. */
  public static final PlacementUrgency FULL = new PlacementUrgency(1);

  /**
   * What the least urgent calls leave free, so that more urgent ones need not wait for the end of a
   * run.
   */
  private static final double LARGEST_HEADROOM = 0.25;

  /**
   * Returns the urgency of a call.
   *
   * @param priority the priority of the call; 0 is the highest
   * @param servicePriorities the priorities of the routes of the call's service
   */
  public static PlacementUrgency of(int priority, Set<Integer> servicePriorities) {
    int lowestRank = servicePriorities.size() - 1;
    long higher = servicePriorities.stream().filter(other -> other < priority).count();
    if (lowestRank < 1 || higher == 0) {
      return FULL;
    }
    return new PlacementUrgency(1 - LARGEST_HEADROOM * Math.min(higher, lowestRank) / lowestRank);
  }

  /** Returns whether a call leaves a part of a server to others. */
  public boolean isRestricted() {
    return fillShare < 1;
  }
}
