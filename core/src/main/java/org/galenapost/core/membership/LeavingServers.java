package org.galenapost.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.platform.Host;
import org.galenapost.core.platform.HostList;
import org.galenapost.core.platform.HostRole;

/**
 * Holds which backend servers the host list calls leaving, from the highest revision seen. Safe for
 * use by several threads.
 */
public final class LeavingServers {

  private volatile HostListNotice newest = new HostListNotice(-1, List.of());

  /**
   * Takes over a notice of a poll or of a peer.
   *
   * @return whether it is newer than what was known
   */
  public synchronized boolean merge(HostListNotice notice) {
    if (notice.revision() <= newest.revision()) {
      return false;
    }
    newest = notice;
    return true;
  }

  /** Returns what a host list says of backend servers. */
  public static HostListNotice noticeOf(HostList hosts) {
    Set<String> leaving = new TreeSet<>();
    for (Host host : hosts.hosts()) {
      if (host.isLeaving() && host.role() != HostRole.DAEMON) {
        leaving.add(host.id());
      }
    }
    return new HostListNotice(hosts.revision(), List.copyOf(leaving));
  }

  /** Returns the servers with those that leave marked so. */
  public Collection<BackendServer> markLeaving(Collection<BackendServer> servers) {
    HostListNotice notice = newest;
    if (notice.leavingServerIds().isEmpty()) {
      return servers;
    }
    return servers.stream()
        .map(
            server ->
                notice.leavingServerIds().contains(server.id())
                    ? server.withState(ServerState.LEAVING)
                    : server)
        .toList();
  }
}
