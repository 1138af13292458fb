package org.galenapost.core.dispatch;

import java.util.List;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerMessage;

/**
 * Reports servers that must not receive calls again.
 *
 * @param instances the servers
 * @param isAnswerWanted whether the receiver sends back those that this report lacks
 */
public record RetiredInstancesReport(List<InstanceKey> instances, boolean isAnswerWanted)
    implements PeerMessage {

  /** Copies the list. */
  public RetiredInstancesReport {
    instances = List.copyOf(instances);
  }
}
