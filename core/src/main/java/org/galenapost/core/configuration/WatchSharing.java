package org.galenapost.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.time.Scheduler;

/**
 * Shares the watches of a few daemons with their peers. A watcher reports its revisions on each
 * change and periodically. A daemon that lags behind a report pulls the missing changes from the
 * sender, or fetches them from the platform if the kind has large objects.
 */
final class WatchSharing {

  private final ConfigurationHolder state;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final WatchAssignment assignment;
  private final PlatformReachability reachability;
  private final BooleanSupplier isUpToDate;
  private final Consumer<ConfigurationKind> poll;
  private volatile boolean isRunning;

  /**
   * Creates the sharing and registers its message handler.
   *
   * @param state the configuration in force
   * @param bus sends the reports and pulls
   * @param scheduler runs the periodic reports
   * @param assignment whether this daemon watches, and which peers it reports to
   * @param reachability records that the platform answers the watchers
   * @param isUpToDate whether all watches of this daemon are up to date
   * @param poll queries the platform once for a kind with large objects
   */
  WatchSharing(
      ConfigurationHolder state,
      PeerBus bus,
      Scheduler scheduler,
      WatchAssignment assignment,
      PlatformReachability reachability,
      BooleanSupplier isUpToDate,
      Consumer<ConfigurationKind> poll) {
    this.state = state;
    this.bus = bus;
    this.scheduler = scheduler;
    this.assignment = assignment;
    this.reachability = reachability;
    this.isUpToDate = isUpToDate;
    this.poll = poll;
    bus.onMessage(ConfigurationMessage.WatchReport.class, this::onReport);
  }

  void start() {
    isRunning = true;
    scheduler.schedule(WatchAssignment.REPORT_PERIOD, this::reportPeriodically);
  }

  void stop() {
    isRunning = false;
  }

  private void reportPeriodically() {
    if (isRunning) {
      report();
      scheduler.schedule(WatchAssignment.REPORT_PERIOD, this::reportPeriodically);
    }
  }

  /** Sends this daemon's revisions to the daemons that depend on its watches. */
  void report() {
    List<String> followers = assignment.reportRecipients();
    if (!followers.isEmpty() && isUpToDate.getAsBoolean()) {
      ConfigurationMessage report = new ConfigurationMessage.WatchReport(sharedRevisions());
      followers.forEach(follower -> bus.send(follower, report));
    }
  }

  private List<KindRevision> sharedRevisions() {
    return state.revisions().stream().filter(held -> assignment.isShared(held.kind())).toList();
  }

  private void onReport(String sender, ConfigurationMessage.WatchReport report) {
    assignment.onReport();
    if (!assignment.mustWatch()) {
      reachability.recordAnswer();
    }
    List<KindRevision> lagging = new ArrayList<>();
    for (KindRevision reported : report.revisions()) {
      if (!isBehind(reported)) {
        continue;
      }
      if (assignment.isLarge(reported.kind())) {
        poll.accept(reported.kind());
      } else {
        lagging.add(state.revision(reported.kind()));
      }
    }
    if (!lagging.isEmpty()) {
      bus.send(sender, new ConfigurationMessage.Pull(lagging));
    }
  }

  /**
   * Returns whether a report shows content that this daemon lacks. The revision of a kind rises
   * with every change in the store, so if the content states its version, only that one counts.
   */
  private boolean isBehind(KindRevision reported) {
    return ContentVersions.isVersioned(reported.kind())
        ? reported.contentVersion() > state.contentVersion(reported.kind())
        : reported.revision() > state.completeRevision(reported.kind());
  }
}
