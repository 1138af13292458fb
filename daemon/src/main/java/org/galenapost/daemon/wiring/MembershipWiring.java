package org.galenapost.daemon.wiring;

import java.util.List;
import java.util.Optional;
import org.galenapost.core.membership.HeartbeatMembership;
import org.galenapost.core.membership.LeavingServers;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.membership.MembershipFactory;
import org.galenapost.core.membership.MembershipSettings;
import org.galenapost.core.platform.HostDirectory;
import org.galenapost.daemon.controller.HostListController;
import org.galenapost.daemon.controller.MembershipController;
import org.galenapost.daemon.generation.EventLoopStallGuard;
import org.galenapost.daemon.peer.PeerAddress;
import org.galenapost.daemon.peer.TcpPeerBus;
import org.galenapost.daemon.settings.DaemonSettings;

/** Creates the membership of daemons and the host list controller. */
final class MembershipWiring {

  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

  private MembershipWiring() {}

  static MembershipParts create(
      DaemonContext context, Mechanisms mechanisms, TcpPeerBus bus, HostDirectory directory) {
    DaemonSettings daemon = context.settings().daemon();
    EventLoopStallGuard stallGuard =
        new EventLoopStallGuard(context.eventLoops().group(), context.clock());
    MembershipFactory factory = self -> createMembership(context, bus, stallGuard, self);
    MembershipController membership =
        new MembershipController(
            daemon,
            bus,
            mechanisms.choose(MembershipFactory.class, factory, context),
            SETTINGS.period(),
            context.time(),
            context.scheduler(),
            context.random()::nextDouble);
    LeavingServers leaving = new LeavingServers();
    HostListController hostList =
        new HostListController(
            daemon,
            mechanisms.choose(HostDirectory.class, directory, context),
            bus,
            membership::members,
            leaving,
            membership::onHosts,
            context.scheduler(),
            context.random()::nextDouble);
    context.metrics().registerGauge("galenapost.peers.live", () -> membership.liveIds().size());
    return new MembershipParts(
        membership::members,
        configuration -> new ConfigurationWithLeavingServers(configuration, leaving),
        List.of(stallGuard, membership, hostList));
  }

  private static HeartbeatMembership createMembership(
      DaemonContext context, TcpPeerBus bus, EventLoopStallGuard stallGuard, MemberRecord self) {
    return new HeartbeatMembership(
        self,
        SETTINGS,
        bus,
        context.clock(),
        stallGuard,
        context.random(),
        member -> updatePeerAddress(bus, member));
  }

  private static void updatePeerAddress(TcpPeerBus bus, MemberRecord member) {
    PeerAddress address = new PeerAddress(member.ip(), member.port());
    if (!bus.addressOf(member.id()).equals(Optional.of(address))) {
      bus.updateAddress(member.id(), address);
    }
  }
}
