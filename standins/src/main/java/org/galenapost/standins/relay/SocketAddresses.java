package org.galenapost.standins.relay;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses loopback addresses without a DNS lookup. */
public final class SocketAddresses {

  private SocketAddresses() {}

  /**
   * Parses an address such as {@code 127.0.0.1:9001}.
   *
   * @throws IllegalArgumentException if the text is not a loopback IP literal followed by a port
   */
  public static InetSocketAddress parseLoopback(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null) {
      throw new IllegalArgumentException("expected IP:PORT, but found " + text);
    }
    try {
      InetAddress address = InetAddress.getByAddress(ip);
      if (!address.isLoopbackAddress()) {
        throw new IllegalArgumentException("expected a loopback address, but found " + text);
      }
      return new InetSocketAddress(address, Integer.parseInt(text.substring(colon + 1)));
    } catch (UnknownHostException | NumberFormatException e) {
      throw new IllegalArgumentException("expected IP:PORT, but found " + text, e);
    }
  }
}
