package org.galenapost.daemon.peer;

import java.util.Objects;
import org.galenapost.core.peer.PeerMessage;

/** The frames that open a connection between daemons. */
sealed interface Handshake extends PeerMessage {

  /**
   * Says who connects and challenges the other side.
   *
   * @param daemonId the sender's id
   * @param ip the IP literal on which the sender listens
   * @param port the TCP port on which the sender listens
   * @param challenge random bytes that the other side must authenticate
   */
  record Challenge(String daemonId, String ip, int port, byte[] challenge) implements Handshake {
    /** Checks that every part is present. */
    public Challenge {
      Objects.requireNonNull(daemonId, "daemonId");
      Objects.requireNonNull(ip, "ip");
      Objects.requireNonNull(challenge, "challenge");
    }
  }

  /**
   * Proves knowledge of the peer secret.
   *
   * @param code the authentication code over both challenges and the sender's role and id
   */
  record Proof(byte[] code) implements Handshake {
    /** Checks that the code is present. */
    public Proof {
      Objects.requireNonNull(code, "code");
    }
  }
}
