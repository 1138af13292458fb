package org.galenapost.core.quarantine;

import java.util.Objects;
import java.util.Set;
import org.galenapost.core.peer.PeerMessage;

/**
 * Reports the loss of a server with the parts of the prompts that it had not yet begun to answer.
 *
 * @param serverId the server
 * @param partIds the parts; empty if the sender had no such request there
 * @param ageMs how long ago the sender noticed the loss, in milliseconds
 */
public record PartLossReport(String serverId, Set<String> partIds, long ageMs)
    implements PeerMessage {

  /** Copies the parts. */
  public PartLossReport {
    Objects.requireNonNull(serverId, "serverId");
    partIds = Set.copyOf(partIds);
  }
}
