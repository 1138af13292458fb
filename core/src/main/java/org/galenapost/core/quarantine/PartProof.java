package org.galenapost.core.quarantine;

import java.util.Set;
import org.galenapost.core.peer.PeerMessage;

/**
 * Reports that servers answered requests with suspect parts, so that these parts are harmless.
 *
 * @param partIds the parts
 */
public record PartProof(Set<String> partIds) implements PeerMessage {

  /** Copies the parts. */
  public PartProof {
    partIds = Set.copyOf(partIds);
  }
}
