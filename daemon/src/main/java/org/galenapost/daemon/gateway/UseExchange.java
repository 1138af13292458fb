package org.galenapost.daemon.gateway;

import java.time.Duration;
import org.galenapost.core.dispatch.UseLedger;
import org.galenapost.core.dispatch.UseReport;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.service.Service;

/**
 * Tells the other daemons what this one has in hand at each server, soon after it changed and now
 * and then in any case, and takes their reports over.
 */
final class UseExchange implements Service {

  private static final Duration CHANGE_PERIOD = Duration.ofMillis(25);

  /** After how many periods a report goes out unchanged, for daemons that missed the last one. */
  private static final int PERIODS_PER_REPEAT = 80;

  private final UseLedger ledger;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private int periods;
  private volatile boolean isRunning;

  UseExchange(UseLedger ledger, PeerBus bus, Scheduler scheduler) {
    this.ledger = ledger;
    this.bus = bus;
    this.scheduler = scheduler;
    bus.onMessage(UseReport.class, ledger::accept);
  }

  @Override
  public String name() {
    return "use-exchange";
  }

  @Override
  public void start() {
    isRunning = true;
    scheduler.schedule(CHANGE_PERIOD, this::tick);
  }

  @Override
  public void stop() {
    isRunning = false;
  }

  private void tick() {
    if (!isRunning) {
      return;
    }
    periods++;
    if (periods % PERIODS_PER_REPEAT == 0) {
      ledger.keepOnly(bus.livePeerIds());
      ledger.takeReport();
      bus.broadcast(ledger.report());
    } else {
      ledger.takeReport().forEach(bus::broadcast);
    }
    scheduler.schedule(CHANGE_PERIOD, this::tick);
  }
}
