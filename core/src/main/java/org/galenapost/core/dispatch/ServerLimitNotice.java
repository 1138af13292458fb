package org.galenapost.core.dispatch;

import java.util.Objects;
import java.util.OptionalDouble;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerMessage;

/**
 * Notifies the other daemons of the limit that a server names.
 *
 * @param server the server
 * @param requestsPerS the limit in requests per second; empty if the server names none any more
 */
public record ServerLimitNotice(InstanceKey server, OptionalDouble requestsPerS)
    implements PeerMessage {

  /** Checks that both parts are present. */
  public ServerLimitNotice {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(requestsPerS, "requestsPerS");
  }
}
