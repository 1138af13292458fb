package org.galenapost.core.admission;

import java.util.List;
import org.galenapost.core.peer.PeerMessage;

/**
 * Reports the sender's demand to the daemon that sums the demand of its workspaces.
 *
 * @param demands the sender's own recent demand
 */
public record DemandReport(List<WorkspaceDemand> demands) implements PeerMessage {

  /** Copies the demands. */
  public DemandReport {
    demands = List.copyOf(demands);
  }
}
