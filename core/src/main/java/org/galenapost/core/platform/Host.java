package org.galenapost.core.platform;

import java.util.Objects;

/**
 * A host in the platform's host list. The list may lag behind the actual state of the hosts.
 *
 * @param id the unique id
 * @param ip the IP literal on which the host listens
 * @param port the TCP port; for a daemon, its peer port
 * @param role the type of process that the host runs
 * @param dataCentre the data centre of the host
 * @param isLeaving whether the platform is about to remove the host
 */
public record Host(
    String id, String ip, int port, HostRole role, String dataCentre, boolean isLeaving) {

  /** Checks that no component is null. */
  public Host {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(ip, "ip");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
