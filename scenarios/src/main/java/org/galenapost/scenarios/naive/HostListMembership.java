package org.galenapost.scenarios.naive;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.membership.MemberStatus;
import org.galenapost.core.membership.Membership;
import org.galenapost.core.platform.Host;
import org.galenapost.core.platform.HostRole;

/** Takes the daemons of the platform's host list as alive and exchanges no heartbeats. */
final class HostListMembership implements Membership {

  private final MemberRecord self;
  private volatile List<MemberRecord> members = List.of();

  HostListMembership(MemberRecord self) {
    this.self = self;
  }

  @Override
  public void onHosts(List<Host> hosts) {
    members =
        hosts.stream()
            .filter(host -> host.role() == HostRole.DAEMON && !host.id().equals(self.id()))
            .map(HostListMembership::toMember)
            .toList();
  }

  private static MemberRecord toMember(Host host) {
    return new MemberRecord(
        host.id(), host.ip(), host.port(), host.dataCentre(), 0, MemberStatus.ALIVE);
  }

  @Override
  public void addDiscovered(MemberRecord daemon) {}

  @Override
  public void tick() {}

  @Override
  public void leave() {}

  @Override
  public Set<String> liveIds() {
    return members.stream().map(MemberRecord::id).collect(Collectors.toUnmodifiableSet());
  }

  @Override
  public int recentlyLiveCount(Duration time) {
    return members.size();
  }

  @Override
  public List<MemberRecord> members() {
    return members;
  }
}
