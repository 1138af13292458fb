package org.galenapost.standins.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The platform's list of hosts.
 *
 * @param revision the revision of the list, incremented with each change
 * @param hosts the hosts
 */
public record HostList(long revision, List<Host> hosts) {

  /** Copies the hosts; null counts as an empty list. */
  public HostList {
    hosts = hosts == null ? List.of() : List.copyOf(hosts);
  }

  /**
   * One host.
   *
   * @param ip the IP address
   * @param port the port on which its process listens
   * @param role the role: daemon, engine or service
   * @param id the name of the host
   * @param dataCentre the data centre of the host
   * @param state whether the host is to be removed
   */
  public record Host(
      String ip, int port, String role, String id, String dataCentre, HostState state) {}

  /** Whether a host is to be removed. */
  public enum HostState {
    /** The host remains. */
    @JsonProperty("live")
    LIVE,
    /** The host will be removed. */
    @JsonProperty("leaving")
    LEAVING
  }
}
