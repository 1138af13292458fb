package org.galenapost.daemon.controller;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.membership.MemberStatus;
import org.galenapost.core.membership.Membership;
import org.galenapost.core.membership.MembershipFactory;
import org.galenapost.core.platform.HostList;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.peer.PeerAddress;
import org.galenapost.daemon.peer.TcpPeerBus;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.DaemonSettings;

/** Runs the membership protocol and tells the message bus which daemons are live. */
public final class MembershipController implements Service {

  private static final EventLog LOG = EventLog.of(MembershipController.class);

  private final DaemonSettings daemon;
  private final TcpPeerBus bus;
  private final MembershipFactory factory;
  private final Duration period;
  private final InstantSource time;
  private final Scheduler scheduler;
  private final RandomSource random;
  private volatile Membership membership;
  private volatile boolean isRunning;
  private Set<String> lastLiveIds = Set.of();

  /**
   * Creates a controller.
   *
   * @param daemon the identity of this daemon
   * @param bus the message bus, which must listen before the controller starts
   * @param factory creates the membership on start
   * @param period the time between heartbeats
   * @param time the wall clock, from which each start takes the incarnation number of this daemon
   * @param scheduler schedules the heartbeat periods
   * @param random adds jitter to the heartbeat periods
   */
  public MembershipController(
      DaemonSettings daemon,
      TcpPeerBus bus,
      MembershipFactory factory,
      Duration period,
      InstantSource time,
      Scheduler scheduler,
      RandomSource random) {
    this.daemon = daemon;
    this.bus = bus;
    this.factory = factory;
    this.period = period;
    this.time = time;
    this.scheduler = scheduler;
    this.random = random;
  }

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public void start() {
    PeerAddress own = bus.ownAddress();
    membership =
        factory.create(
            new MemberRecord(
                daemon.id(),
                own.ip(),
                own.port(),
                daemon.dataCentre(),
                time.millis(),
                MemberStatus.ALIVE));
    bus.setLivePeerSource(this::liveIds);
    isRunning = true;
    tick();
  }

  @Override
  public void stop() {
    isRunning = false;
    if (membership != null) {
      membership.leave();
    }
  }

  /** Returns the ids of the other daemons that the membership regards as live. */
  public Set<String> liveIds() {
    Membership current = membership;
    return current == null ? Set.of() : current.liveIds();
  }

  /** Returns the number of other daemons that are live or were so within the given time. */
  public int recentlyLiveCount(Duration time) {
    Membership current = membership;
    return current == null ? 0 : current.recentlyLiveCount(time);
  }

  /** Returns the known state of the other daemons. */
  public Collection<MemberRecord> members() {
    Membership current = membership;
    return current == null ? List.of() : current.members();
  }

  /** Applies the platform's host list to the membership. */
  public void onHosts(HostList hosts) {
    Membership current = membership;
    if (current != null) {
      current.onHosts(hosts.hosts());
    }
  }

  private void tick() {
    if (!isRunning) {
      return;
    }
    membership.tick();
    if (membership.liveIds().isEmpty()) {
      discoverPeers();
    } else {
      removeUnknownPeers();
    }
    logChanges();
    double jitterFactor = 0.95 + 0.1 * random.nextDouble();
    scheduler.schedule(Duration.ofNanos((long) (period.toNanos() * jitterFactor)), this::tick);
  }

  /**
   * Discovers daemons through the seeds while no other daemon is live, for example because the
   * platform, and with it the host list, is unavailable.
   */
  private void discoverPeers() {
    bus.connectToSeeds();
    bus.knownAddresses()
        .forEach(
            (id, address) ->
                membership.addDiscovered(
                    new MemberRecord(
                        id,
                        address.ip(),
                        address.port(),
                        "",
                        MemberRecord.UNCONFIRMED_INCARNATION,
                        MemberStatus.ALIVE)));
  }

  /** Removes peers from the bus that the membership no longer contains. */
  private void removeUnknownPeers() {
    Set<String> memberIds =
        membership.members().stream().map(MemberRecord::id).collect(Collectors.toSet());
    bus.knownAddresses().keySet().stream()
        .filter(id -> !memberIds.contains(id))
        .forEach(bus::removePeer);
  }

  private void logChanges() {
    Set<String> liveIds = membership.liveIds();
    liveIds.stream()
        .filter(id -> !lastLiveIds.contains(id))
        .forEach(id -> LOG.info("peer_live").with("peer", id).write());
    lastLiveIds.stream()
        .filter(id -> !liveIds.contains(id))
        .forEach(id -> LOG.warn("peer_lost").with("peer", id).write());
    lastLiveIds = liveIds;
  }
}
