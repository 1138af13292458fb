package org.galenapost.daemon.controller;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.core.membership.HostListNotice;
import org.galenapost.core.membership.LeavingServers;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.membership.PollerSelection;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.HostDirectory;
import org.galenapost.core.platform.HostList;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.DaemonSettings;

/**
 * Follows the platform's host list. Two daemons of each data centre poll it every second and push
 * what changed to the others there, which poll it seldom.
 */
public final class HostListController implements Service {

  private static final EventLog LOG = EventLog.of(HostListController.class);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(800);
  private static final Duration FALLBACK_POLL_INTERVAL = Duration.ofSeconds(15);

  private final DaemonSettings daemon;
  private final HostDirectory directory;
  private final PeerBus bus;
  private final Supplier<Collection<MemberRecord>> members;
  private final LeavingServers leavingServers;
  private final Consumer<HostList> onHosts;
  private final Scheduler scheduler;
  private final RandomSource random;
  private volatile boolean isRunning;
  private long tickCount;

  /**
   * Creates a controller.
   *
   * @param daemon who this daemon is
   * @param directory reads the host list
   * @param bus carries notices
   * @param members what is known of the other daemons
   * @param leaving takes over which backend servers leave
   * @param onHosts told of each host list
   * @param scheduler runs the polls
   * @param random spreads the polls
   */
  public HostListController(
      DaemonSettings daemon,
      HostDirectory directory,
      PeerBus bus,
      Supplier<Collection<MemberRecord>> members,
      LeavingServers leaving,
      Consumer<HostList> onHosts,
      Scheduler scheduler,
      RandomSource random) {
    this.daemon = daemon;
    this.directory = directory;
    this.bus = bus;
    this.members = members;
    this.leavingServers = leaving;
    this.onHosts = onHosts;
    this.scheduler = scheduler;
    this.random = random;
    bus.onMessage(HostListNotice.class, (sender, notice) -> leaving.merge(notice));
  }

  @Override
  public String name() {
    return "host-list";
  }

  @Override
  public void start() {
    isRunning = true;
    poll();
  }

  @Override
  public void stop() {
    isRunning = false;
  }

  private void tick() {
    if (!isRunning) {
      return;
    }
    tickCount++;
    boolean isSpareTurn = tickCount % FALLBACK_POLL_INTERVAL.dividedBy(POLL_INTERVAL) == 0;
    if (isSpareTurn || PollerSelection.isPoller(daemon.id(), daemon.dataCentre(), members.get())) {
      poll();
    } else {
      scheduleNext();
    }
  }

  private void poll() {
    directory
        .hosts()
        .whenComplete(
            (answer, error) -> {
              if (error == null && answer.isRight()) {
                apply(answer.get());
              }
              scheduleNext();
            });
  }

  private void apply(HostList hosts) {
    onHosts.accept(hosts);
    HostListNotice notice = LeavingServers.noticeOf(hosts);
    if (leavingServers.merge(notice)) {
      LOG.info("host_list_changed")
          .with("revision", hosts.revision())
          .with("hosts", hosts.hosts().size())
          .with("leaving", notice.leavingServerIds())
          .write();
      members.get().stream()
          .filter(member -> member.status().isLive())
          .filter(member -> member.dataCentre().equals(daemon.dataCentre()))
          .forEach(member -> bus.send(member.id(), notice));
    }
  }

  private void scheduleNext() {
    if (isRunning) {
      long spreadMs = (long) (POLL_INTERVAL.toMillis() * (0.9 + 0.2 * random.nextDouble()));
      scheduler.schedule(Duration.ofMillis(spreadMs), this::tick);
    }
  }
}
