package org.galenapost.core.platform;

import java.util.List;

/**
 * The platform's list of hosts.
 *
 * @param revision the revision of the list, which increases with each change
 * @param hosts the hosts
 */
public record HostList(long revision, List<Host> hosts) {

  /** Copies the hosts. */
  public HostList {
    hosts = List.copyOf(hosts);
  }
}
