package org.galenapost.core.membership;

import java.util.List;
import org.galenapost.core.peer.PeerMessage;

/**
 * Informs daemons that do not poll the host list of the backend servers that are leaving.
 *
 * @param revision the revision of the host list
 * @param leavingServerIds the ids of the backend servers that are leaving
 */
public record HostListNotice(long revision, List<String> leavingServerIds) implements PeerMessage {

  /** Makes a defensive copy of the ids. */
  public HostListNotice {
    leavingServerIds = List.copyOf(leavingServerIds);
  }
}
