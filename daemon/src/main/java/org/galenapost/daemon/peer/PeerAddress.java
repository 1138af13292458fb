package org.galenapost.daemon.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.galenapost.daemon.net.IpAddresses;

/**
 * The address on which a daemon listens for other daemons.
 *
 * @param ip the IP literal
 * @param port the TCP port
 */
public record PeerAddress(String ip, int port) {

  /** Checks that the IP literal is not null. */
  public PeerAddress {
    Objects.requireNonNull(ip, "ip");
  }

  InetSocketAddress toSocketAddress() {
    return IpAddresses.socketAddress(ip, port);
  }
}
