package org.galenapost.daemon.gateway;

import java.time.Duration;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.dispatch.UseReport;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.service.Service;

/**
 * Broadcasts the work that this daemon has in flight at each server, shortly after each change and
 * periodically, and applies the reports of the other daemons.
 */
final class UseReportExchange implements Service {

  /**
   * Changes within this delay share one report; a fraction of the time to process a prompt, and
   * longer than most calls of plain services take, so that these need no report.
   */
  private static final Duration CHANGE_DELAY = Duration.ofMillis(50);

  /** Period of complete reports, for daemons that missed an earlier one. */
  private static final Duration REPORT_PERIOD = Duration.ofSeconds(2);

  private final ServerUseTracker useTracker;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private volatile boolean isRunning;

  UseReportExchange(ServerUseTracker useTracker, PeerBus bus, Scheduler scheduler) {
    this.useTracker = useTracker;
    this.bus = bus;
    this.scheduler = scheduler;
    bus.onMessage(UseReport.class, useTracker::applyReport);
    useTracker.onChange(() -> scheduler.schedule(CHANGE_DELAY, this::reportChange));
  }

  @Override
  public String name() {
    return "use-exchange";
  }

  @Override
  public void start() {
    isRunning = true;
    scheduler.schedule(REPORT_PERIOD, this::reportPeriodically);
  }

  @Override
  public void stop() {
    isRunning = false;
  }

  private void reportChange() {
    if (isRunning) {
      useTracker.pollChangedReport().forEach(bus::broadcast);
    }
  }

  private void reportPeriodically() {
    if (isRunning) {
      useTracker.retainOnly(bus.livePeerIds());
      useTracker.pollChangedReport();
      bus.broadcast(useTracker.currentReport());
      scheduler.schedule(REPORT_PERIOD, this::reportPeriodically);
    }
  }
}
