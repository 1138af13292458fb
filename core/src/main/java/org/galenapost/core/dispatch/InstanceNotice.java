package org.galenapost.core.dispatch;

import java.util.Objects;
import org.galenapost.core.peer.PeerMessage;

/**
 * Notifies the other daemons of a server that failed or leaves, so that they avoid it.
 *
 * @param id the server's id
 * @param startedAtEpochMs the start time of the server, in milliseconds since 1970
 * @param kind what was observed
 */
public record InstanceNotice(String id, long startedAtEpochMs, Kind kind) implements PeerMessage {

  /** Checks that every part is present. */
  public InstanceNotice {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(kind, "kind");
  }

  /** What was observed. */
  public enum Kind {
    /** The server was lost during a call, or did not answer a connection attempt. */
    LOST,
    /** The server's host refused a connection. */
    REFUSED,
    /** Another instance answers at the server's address. */
    REPLACED,
    /** The server stated that it leaves. */
    LEAVING
  }
}
