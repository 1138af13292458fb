package org.galenapost.core.handover;

import java.util.Objects;
import java.util.Set;
import org.galenapost.core.peer.PeerMessage;

/**
 * Tells other daemons whether and where the sender takes calls from them.
 *
 * @param callerIp the IP literal on which the sender listens for callers
 * @param callerPort the TCP port on which the sender listens for callers
 * @param dataCentre the data centre of the sender
 * @param unreachedServices the services of which the sender reaches no server
 * @param isAccepting whether the sender takes new calls; a daemon that drains does not
 */
public record HandoverStatus(
    String callerIp,
    int callerPort,
    String dataCentre,
    Set<String> unreachedServices,
    boolean isAccepting)
    implements PeerMessage {

  /** Checks that every part is present, and copies the services. */
  public HandoverStatus {
    Objects.requireNonNull(callerIp, "callerIp");
    Objects.requireNonNull(dataCentre, "dataCentre");
    unreachedServices = Set.copyOf(unreachedServices);
  }
}
