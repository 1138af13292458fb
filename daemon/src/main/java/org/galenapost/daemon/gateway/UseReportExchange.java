package org.galenapost.daemon.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.dispatch.UseReport;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
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
  private final MonotonicClock clock;
  private final Map<String, Long> reportNanos = new HashMap<>();
  private volatile boolean isRunning;

  UseReportExchange(
      ServerUseTracker useTracker, PeerBus bus, Scheduler scheduler, MonotonicClock clock) {
    this.useTracker = useTracker;
    this.bus = bus;
    this.scheduler = scheduler;
    this.clock = clock;
    bus.onMessage(UseReport.class, this::applyReport);
    useTracker.onChange(() -> scheduler.schedule(CHANGE_DELAY, this::reportChange));
  }

  private void applyReport(String daemonId, UseReport report) {
    useTracker.applyReport(daemonId, report);
    reportNanos.put(daemonId, clock.nanos());
  }

  /** Returns the age of the oldest report in force; zero without other daemons. */
  Duration oldestReportAge() {
    return reportNanos.values().stream()
        .map(clock::since)
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
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
      reportNanos.keySet().retainAll(bus.livePeerIds());
      useTracker.pollChangedReport();
      bus.broadcast(useTracker.currentReport());
      scheduler.schedule(REPORT_PERIOD, this::reportPeriodically);
    }
  }
}
