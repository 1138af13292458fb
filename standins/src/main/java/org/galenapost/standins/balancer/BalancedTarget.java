package org.galenapost.standins.balancer;

import java.net.InetSocketAddress;
import org.galenapost.standins.relay.SocketAddresses;

/**
 * A daemon behind the balancer.
 *
 * @param address where connections go
 * @param healthPort the port on the same address that tells whether the daemon is ready
 * @param healthPath the path to ask there
 */
public record BalancedTarget(InetSocketAddress address, int healthPort, String healthPath) {

  private static final String DEFAULT_HEALTH_PATH = "/readyz";

  /** Creates a target that is asked for the usual path. */
  public BalancedTarget(InetSocketAddress address, int healthPort) {
    this(address, healthPort, DEFAULT_HEALTH_PATH);
  }

  /**
   * Reads a target such as {@code 127.0.0.1:9001@9101}.
   *
   * @throws IllegalArgumentException if it has another form or is not on loopback
   */
  public static BalancedTarget parse(String text) {
    int at = text.lastIndexOf('@');
    if (at < 0) {
      throw new IllegalArgumentException("expected IP:PORT@HEALTH_PORT, but found " + text);
    }
    try {
      int healthPort = Integer.parseInt(text.substring(at + 1));
      return new BalancedTarget(SocketAddresses.parseLoopback(text.substring(0, at)), healthPort);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("expected IP:PORT@HEALTH_PORT, but found " + text, e);
    }
  }

  /** Returns the URL of its readiness. */
  String healthUrl() {
    return "http://" + address.getAddress().getHostAddress() + ":" + healthPort + healthPath;
  }

  /** Returns its text form. */
  String text() {
    return address.getAddress().getHostAddress() + ":" + address.getPort() + "@" + healthPort;
  }
}
