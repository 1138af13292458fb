package org.galenapost.core.membership;

import java.util.List;
import org.galenapost.core.peer.PeerMessage;

/** A message of the membership protocol. Each carries recent membership updates. */
public sealed interface MembershipMessage extends PeerMessage {

  /** Returns the membership updates that the message carries. */
  List<MemberRecord> updates();

  /**
   * Checks that a neighbour responds.
   *
   * @param digest the digest of the sender's live members
   * @param updates recent membership updates, the sender's own record first
   */
  record Heartbeat(long digest, List<MemberRecord> updates) implements MembershipMessage {
    /** Makes a defensive copy of the updates. */
    public Heartbeat {
      updates = List.copyOf(updates);
    }
  }

  /** Acknowledges a heartbeat. */
  record HeartbeatAck(List<MemberRecord> updates) implements MembershipMessage {
    /** Makes a defensive copy of the updates. */
    public HeartbeatAck {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Asks another daemon to probe a silent one.
   *
   * @param targetId the id of the silent daemon
   * @param updates recent membership updates
   */
  record ProbeRequest(String targetId, List<MemberRecord> updates) implements MembershipMessage {
    /** Makes a defensive copy of the updates. */
    public ProbeRequest {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Reports that a probed daemon responded.
   *
   * @param targetId the id of the probed daemon
   * @param updates recent membership updates
   */
  record ProbeAck(String targetId, List<MemberRecord> updates) implements MembershipMessage {
    /** Makes a defensive copy of the updates. */
    public ProbeAck {
      updates = List.copyOf(updates);
    }
  }

  /** Carries the sender's full table to a daemon whose digest keeps differing. */
  record Table(List<MemberRecord> updates) implements MembershipMessage {
    /** Makes a defensive copy of the updates. */
    public Table {
      updates = List.copyOf(updates);
    }
  }
}
