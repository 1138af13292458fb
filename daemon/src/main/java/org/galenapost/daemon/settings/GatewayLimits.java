package org.galenapost.daemon.settings;

/**
 * The limits that a gateway sets for all of its callers together. What a single request may send is
 * set by the configuration.
 *
 * @param maxConnections the maximum number of open caller connections; half of the descriptors of
 *     the process, if that is less
 */
public record GatewayLimits(int maxConnections) {

  private static final int DEFAULT_MAX_CONNECTIONS = 2_500;
  private static final int MAX_MAX_CONNECTIONS = 1_000_000;

  /** Returns the limits that hold unless others are set. */
  public static GatewayLimits defaults() {
    return new GatewayLimits(DEFAULT_MAX_CONNECTIONS);
  }

  static GatewayLimits bind(SectionReader section) {
    return new GatewayLimits(
        section.count("max_connections", DEFAULT_MAX_CONNECTIONS, 1, MAX_MAX_CONNECTIONS));
  }
}
