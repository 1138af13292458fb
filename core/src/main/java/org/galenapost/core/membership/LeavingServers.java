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
 * Holds the backend servers that are leaving, from the highest host list revision seen.
 * Thread-safe.
 */
public final class LeavingServers {

  private volatile HostListNotice current = new HostListNotice(-1, List.of());

  /**
   * Applies a notice from a poll or from a peer if its revision is higher than the current one.
   *
   * @return whether the notice was applied
   */
  public synchronized boolean merge(HostListNotice notice) {
    if (notice.revision() <= current.revision()) {
      return false;
    }
    current = notice;
    return true;
  }

  /** Returns a notice with the leaving backend servers of a host list. */
  public static HostListNotice noticeOf(HostList hosts) {
    Set<String> leaving = new TreeSet<>();
    for (Host host : hosts.hosts()) {
      if (host.isLeaving() && host.role() != HostRole.DAEMON) {
        leaving.add(host.id());
      }
    }
    return new HostListNotice(hosts.revision(), List.copyOf(leaving));
  }

  /** Returns the servers, with the leaving ones set to {@link ServerState#LEAVING}. */
  public Collection<BackendServer> markLeaving(Collection<BackendServer> servers) {
    HostListNotice notice = current;
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
