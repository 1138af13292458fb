package org.galenapost.core.quarantine;

import java.util.Objects;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.peer.PeerMessage;

/**
 * Announces that a suspect request runs on a server, so that no other suspect is placed there.
 *
 * @param serverId the server
 * @param digest the digest of the suspect request
 * @param isHeld whether the claim is held; false once the request has left the server or is no
 *     longer isolated
 */
public record IsolationClaim(String serverId, RequestDigest digest, boolean isHeld)
    implements PeerMessage {

  /** Checks that every part is present. */
  public IsolationClaim {
    Objects.requireNonNull(serverId, "serverId");
    Objects.requireNonNull(digest, "digest");
  }
}
