package org.galenapost.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.time.Scheduler;

/**
 * Passes on what the daemons that watch the platform see: a watcher reports its revisions on each
 * change and regularly, a daemon that lags behind a report pulls what it lacks from its sender, or
 * asks the platform if that may be large.
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
   * Creates the sharing.
   *
   * @param state the configuration in force
   * @param bus carries reports
   * @param scheduler runs regular reports
   * @param duty whether this daemon watches, and whom it tells
   * @param reach told that the platform answers others
   * @param isUpToDate whether the watches of this daemon work
   * @param look asks the platform for a large kind
   */
  WatchSharing(
      ConfigurationHolder state,
      PeerBus bus,
      Scheduler scheduler,
      WatchAssignment duty,
      PlatformReachability reach,
      BooleanSupplier isUpToDate,
      Consumer<ConfigurationKind> look) {
    this.state = state;
    this.bus = bus;
    this.scheduler = scheduler;
    this.assignment = duty;
    this.reachability = reach;
    this.isUpToDate = isUpToDate;
    this.poll = look;
    bus.onMessage(ConfigurationMessage.WatchReport.class, this::onReport);
  }

  void start() {
    isRunning = true;
    scheduler.schedule(WatchAssignment.REPORT_PERIOD, this::reportRegularly);
  }

  void stop() {
    isRunning = false;
  }

  private void reportRegularly() {
    if (isRunning) {
      report();
      scheduler.schedule(WatchAssignment.REPORT_PERIOD, this::reportRegularly);
    }
  }

  /** Tells the daemons that depend on this one's watches what it is up to date with. */
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
    for (KindRevision theirs : report.revisions()) {
      long held = state.completeRevision(theirs.kind());
      if (theirs.revision() > held && assignment.isLarge(theirs.kind())) {
        poll.accept(theirs.kind());
      } else if (theirs.revision() > held) {
        lagging.add(new KindRevision(theirs.kind(), held));
      }
    }
    if (!lagging.isEmpty()) {
      bus.send(sender, new ConfigurationMessage.Pull(lagging));
    }
  }
}
