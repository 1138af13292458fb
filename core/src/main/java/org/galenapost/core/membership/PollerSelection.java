package org.galenapost.core.membership;

import java.util.Collection;

/**
 * Chooses the few daemons of each data centre that poll the host list for the others. It is a hint
 * that each daemon works out from its own view; more pollers than wanted cost calls only.
 */
public final class PollerSelection {

  private static final int POLLERS_PER_DATA_CENTRE = 2;
  private static final int DUTY_RING = 101;

  private PollerSelection() {}

  /**
   * Returns whether a daemon polls for its data centre.
   *
   * @param ownId the daemon
   * @param dataCentre its data centre
   * @param others what it knows of the others
   */
  public static boolean isPoller(String ownId, String dataCentre, Collection<MemberRecord> others) {
    long own = NeighbourRings.position(ownId, DUTY_RING);
    long before =
        others.stream()
            .filter(other -> other.dataCentre().equals(dataCentre) && other.status().isLive())
            .filter(other -> NeighbourRings.position(other.id(), DUTY_RING) < own)
            .count();
    return before < POLLERS_PER_DATA_CENTRE;
  }
}
