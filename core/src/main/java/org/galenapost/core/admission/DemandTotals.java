package org.galenapost.core.admission;

import java.util.List;
import org.galenapost.core.peer.PeerMessage;

/**
 * Answers a {@link DemandReport} with the demand over all daemons.
 *
 * @param totals the recent demand of each reported workspace over all daemons
 */
public record DemandTotals(List<WorkspaceDemand> totals) implements PeerMessage {

  /** Copies the totals. */
  public DemandTotals {
    totals = List.copyOf(totals);
  }
}
