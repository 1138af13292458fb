package org.galenapost.daemon.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Converts IP literals to addresses without a DNS lookup. */
public final class IpAddresses {

  private IpAddresses() {}

  /**
   * Returns the address of an IP literal.
   *
   * @throws IllegalArgumentException if the text is not an IP literal
   */
  public static InetAddress address(String ipLiteral) {
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(ipLiteral);
    if (address == null) {
      throw new IllegalArgumentException("expected an IP literal, but found '" + ipLiteral + "'");
    }
    return address;
  }

  /**
   * Returns the socket address of an IP literal and a port.
   *
   * @throws IllegalArgumentException if the text is not an IP literal
   */
  public static InetSocketAddress socketAddress(String ipLiteral, int port) {
    return new InetSocketAddress(address(ipLiteral), port);
  }
}
