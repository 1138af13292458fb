package org.galenapost.daemon.gateway;

import java.util.Set;
import java.util.function.IntSupplier;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.InstanceStatusBroadcaster;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.handover.HandoverPeers;
import org.galenapost.core.handover.HandoverStatus;
import org.galenapost.core.handover.ServerReach;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.gateway.upstream.ConnectProbes;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.net.IpAddresses;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.GatewaySettings;

/** Joins the detection of unreachable servers with the exchange of status between daemons. */
final class HandoverWiring {

  private final GatewaySettings settings;
  private final DaemonState state;
  private final IntSupplier callerPort;
  private final InstanceStatusBroadcaster statusBroadcaster;
  private final ServerReach reach;
  private final HandoverPeers peers;

  HandoverWiring(
      GatewaySettings settings,
      DaemonState state,
      IntSupplier callerPort,
      InstanceDirectory directory,
      ConnectProbes probes,
      PeerBus bus,
      ServerUseTracker useTracker,
      InstanceHealth health,
      InstanceStatusBroadcaster statusBroadcaster,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomSource random) {
    this.settings = settings;
    this.state = state;
    this.callerPort = callerPort;
    this.statusBroadcaster = statusBroadcaster;
    this.reach =
        new ServerReach(
            directory, probes::probe, scheduler, clock, random, this::onServerReachChanged);
    this.peers =
        new HandoverPeers(
            settings.daemon().dataCentre(),
            bus,
            scheduler,
            clock,
            random,
            useTracker,
            health,
            this::ownStatus,
            this::onUnreachedElsewhere);
  }

  private void onServerReachChanged(String service, boolean isReached) {
    GatewayLog.serverReachChanged(service, isReached);
    peers.announce();
  }

  private void onUnreachedElsewhere(String daemonId, Set<String> services) {
    statusBroadcaster.setUnreached(daemonId, services);
    services.forEach(reach::check);
  }

  private HandoverStatus ownStatus() {
    boolean isAccepting = state.notReadyReason().isEmpty() && callerPort.getAsInt() > 0;
    return new HandoverStatus(
        reachableIp(),
        callerPort.getAsInt(),
        settings.daemon().dataCentre(),
        reach.unreachedServices(),
        isAccepting);
  }

  /**
   * Returns where others reach the callers' listener; one on all addresses is reached as a peer.
   */
  private String reachableIp() {
    String callerIp = settings.caller().address().ip();
    boolean isOnAllAddresses = IpAddresses.address(callerIp).isAnyLocalAddress();
    return isOnAllAddresses ? settings.peer().address().ip() : callerIp;
  }

  ServerReach reach() {
    return reach;
  }

  HandoverPeers peers() {
    return peers;
  }

  /** Returns the service that exchanges the status; it starts once callers are served. */
  Service service() {
    return Service.of("handover-peers", peers::start, peers::stop);
  }

  void addGauges(DaemonMetrics metrics) {
    metrics.registerGauge(
        "galenapost.gateway.services.unreached", () -> reach.unreachedServices().size());
  }
}
