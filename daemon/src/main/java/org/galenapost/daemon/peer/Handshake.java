package org.galenapost.daemon.peer;

import java.util.Objects;
import org.galenapost.core.peer.PeerMessage;

/** The messages that authenticate both sides of a new connection between daemons. */
sealed interface Handshake extends PeerMessage {

  /**
   * Identifies the sender and challenges the receiver to prove that it knows the peer secret.
   *
   * @param daemonId the sender's id
   * @param ip the IP literal of the address on which the sender listens for daemons
   * @param port the TCP port on which the sender listens for daemons
   * @param challenge random bytes that the receiver must include in its proof
   */
  record Challenge(String daemonId, String ip, int port, byte[] challenge) implements Handshake {
    /** Checks that no reference is null. */
    public Challenge {
      Objects.requireNonNull(daemonId, "daemonId");
      Objects.requireNonNull(ip, "ip");
      Objects.requireNonNull(challenge, "challenge");
    }
  }

  /**
   * Proves knowledge of the peer secret.
   *
   * @param code the HMAC-SHA256 of both challenges, the sender's role, id and address, and the
   *     receiver's id
   */
  record Proof(byte[] code) implements Handshake {
    /** Checks that the code is not null. */
    public Proof {
      Objects.requireNonNull(code, "code");
    }
  }
}
