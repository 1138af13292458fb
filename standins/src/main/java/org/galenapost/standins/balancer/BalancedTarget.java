package org.galenapost.standins.balancer;

import java.net.InetSocketAddress;
import org.galenapost.standins.relay.SocketAddresses;

/**
 * A daemon behind a load balancer.
 *
 * @param address the address that receives the connections
 * @param healthPort the port of the readiness endpoint, on the same IP address
 * @param healthPath the path of the readiness endpoint
 */
public record BalancedTarget(InetSocketAddress address, int healthPort, String healthPath) {

  private static final String DEFAULT_HEALTH_PATH = "/readyz";

  /** Creates a target with the default readiness path. */
  public BalancedTarget(InetSocketAddress address, int healthPort) {
    this(address, healthPort, DEFAULT_HEALTH_PATH);
  }

  /**
   * Parses a target such as {@code 127.0.0.1:9001@9101}.
   *
   * @throws IllegalArgumentException if the text has another form or the address is not loopback
   */
  public static BalancedTarget parse(String text) {
    int separator = text.lastIndexOf('@');
    if (separator < 0) {
      throw new IllegalArgumentException("expected IP:PORT@HEALTH_PORT, but found " + text);
    }
    try {
      int healthPort = Integer.parseInt(text.substring(separator + 1));
      return new BalancedTarget(
          SocketAddresses.parseLoopback(text.substring(0, separator)), healthPort);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("expected IP:PORT@HEALTH_PORT, but found " + text, e);
    }
  }

  /** Returns the URL of the readiness endpoint. */
  String healthUrl() {
    return "http://" + address.getAddress().getHostAddress() + ":" + healthPort + healthPath;
  }

  /** Returns the target in the form that {@link #parse} reads. */
  String text() {
    return address.getAddress().getHostAddress() + ":" + address.getPort() + "@" + healthPort;
  }
}
