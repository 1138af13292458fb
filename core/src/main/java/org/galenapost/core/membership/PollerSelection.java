package org.galenapost.core.membership;

import java.util.Collection;

/**
 * Selects the daemons of each data centre that poll the host list for the others. Each daemon
 * decides from its own view. Surplus pollers cost additional calls only.
 */
public final class PollerSelection {

  private static final int POLLERS_PER_DATA_CENTRE = 2;
  private static final int POLLER_RING = 101;

  private PollerSelection() {}

  /**
   * Returns whether a daemon polls for its data centre.
   *
   * @param ownId the id of the daemon
   * @param dataCentre the data centre of the daemon
   * @param others the daemon's records of the other daemons
   */
  public static boolean isPoller(String ownId, String dataCentre, Collection<MemberRecord> others) {
    long own = NeighbourRings.position(ownId, POLLER_RING);
    long before =
        others.stream()
            .filter(other -> other.dataCentre().equals(dataCentre) && other.status().isLive())
            .filter(other -> NeighbourRings.position(other.id(), POLLER_RING) < own)
            .count();
    return before < POLLERS_PER_DATA_CENTRE;
  }
}
