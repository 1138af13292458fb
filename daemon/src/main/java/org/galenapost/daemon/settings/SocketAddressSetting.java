package org.galenapost.daemon.settings;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.galenapost.daemon.net.IpAddresses;

/**
 * An IP address and a TCP port. Host names are rejected, so that no DNS lookup takes place.
 *
 * @param ip the IP literal
 * @param port the TCP port; for a listener, 0 lets the operating system choose one
 */
public record SocketAddressSetting(String ip, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Parses an IP literal and a port, such as {@code 10.0.0.1:9000} or {@code [::1]:9000}.
   *
   * @return the address, or empty if the text is not valid
   */
  public static Optional<SocketAddressSetting> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    Optional<String> ip = parseIp(text.substring(0, colon));
    Optional<Integer> port = parsePort(text.substring(colon + 1));
    return ip.flatMap(literal -> port.map(number -> new SocketAddressSetting(literal, number)));
  }

  private static Optional<String> parseIp(String text) {
    if (NetUtil.isValidIpV4Address(text)) {
      return Optional.of(text);
    }
    boolean isBracketed = text.startsWith("[") && text.endsWith("]");
    return Optional.of(text)
        .filter(bracketed -> isBracketed)
        .map(bracketed -> bracketed.substring(1, bracketed.length() - 1))
        .filter(NetUtil::isValidIpV6Address);
  }

  private static Optional<Integer> parsePort(String text) {
    try {
      return Optional.of(Integer.parseInt(text)).filter(port -> port > 0 && port <= MAX_PORT);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Converts the setting to a socket address. */
  public InetSocketAddress toSocketAddress() {
    return IpAddresses.socketAddress(ip, port);
  }

  @Override
  public String toString() {
    return ip.indexOf(':') < 0 ? ip + ":" + port : "[" + ip + "]:" + port;
  }
}
