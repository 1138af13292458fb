package org.galenapost.core.dispatch;

import java.util.Objects;
import java.util.OptionalDouble;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerMessage;

/**
 * Tells the other daemons that a server is brittle or no longer, or that it refused a call.
 *
 * @param server the server
 * @param refusalsPerS the refusals in a second after which the server falls over; empty if it is
 *     not brittle any more
 * @param hasRefused whether the server has just refused a call of the sender for want of room
 */
public record BrittleServerNotice(
    InstanceKey server, OptionalDouble refusalsPerS, boolean hasRefused) implements PeerMessage {

  /** Checks that the server is present, and replaces an absent number by an empty one. */
  public BrittleServerNotice {
    Objects.requireNonNull(server, "server");
    refusalsPerS = refusalsPerS == null ? OptionalDouble.empty() : refusalsPerS;
  }
}
