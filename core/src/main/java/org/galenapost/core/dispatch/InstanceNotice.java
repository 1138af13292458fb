package org.galenapost.core.dispatch;

import java.util.Objects;
import org.galenapost.core.peer.PeerMessage;

/**
 * Tells the other daemons that calls had better not go to a server.
 *
 * @param id the server's id
 * @param startedAtEpochMs when it started, in milliseconds
 * @param kind what was found
 */
public record InstanceNotice(String id, long startedAtEpochMs, Kind kind) implements PeerMessage {

  /** Checks that every part is present. */
  public InstanceNotice {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(kind, "kind");
  }

  /** What was found. */
  public enum Kind {
    /** It was lost in the middle of a call, or did not answer a connection. */
    LOST,
    /** Its host refused a connection. */
    REFUSED,
    /** Another instance answers at its address. */
    REPLACED
  }
}
