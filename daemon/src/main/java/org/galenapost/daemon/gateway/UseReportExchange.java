package org.galenapost.daemon.gateway;

import java.time.Duration;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.dispatch.UseReport;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.service.Service;

/**
 * Tells the other daemons what this one has in hand at each server, soon after it changed and now
 * and then in any case, and takes their reports over.
 */
final class UseReportExchange implements Service {

  /** Changes within this time go out together; a fraction of what a prompt takes to be read. */
  private static final Duration CHANGE_DELAY = Duration.ofMillis(25);

  /** How often a report goes out unchanged, for daemons that missed the last one. */
  private static final Duration REPORT_PERIOD = Duration.ofSeconds(2);

  private final ServerUseTracker useTracker;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private volatile boolean isRunning;

  UseReportExchange(ServerUseTracker ledger, PeerBus bus, Scheduler scheduler) {
    this.useTracker = ledger;
    this.bus = bus;
    this.scheduler = scheduler;
    bus.onMessage(UseReport.class, ledger::applyReport);
    ledger.onChange(() -> scheduler.schedule(CHANGE_DELAY, this::reportChange));
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
