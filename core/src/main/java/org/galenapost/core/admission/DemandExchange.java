package org.galenapost.core.admission;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/**
 * Exchanges demand with the other daemons at a bounded rate. Each workspace hashes to one daemon,
 * which sums its demand. If that daemon is lost, the next reports restore the sum elsewhere.
 */
public final class DemandExchange {

  private static final Duration MIN_INTERVAL = Duration.ofSeconds(2);
  private static final int MAX_MESSAGES_PER_SECOND = 10;
  private static final double JITTER = 0.25;

  private final String ownId;
  private final PeerBus peers;
  private final DemandShares shares;
  private final DemandAggregator aggregator;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private Scheduler.Cancellable next = () -> {};
  private boolean isRunning;

  /**
   * Creates the exchange, which sends nothing before it is started.
   *
   * @param ownId the id of this daemon
   * @param peers the connection to the other daemons
   * @param shares the demand and the shares of this daemon
   * @param clock the clock
   * @param scheduler schedules the reports
   * @param random the source of the jitter
   */
  public DemandExchange(
      String ownId,
      PeerBus peers,
      DemandShares shares,
      MonotonicClock clock,
      Scheduler scheduler,
      RandomGenerator random) {
    this.ownId = ownId;
    this.peers = peers;
    this.shares = shares;
    this.aggregator = new DemandAggregator(clock);
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Starts sending reports and answering those of other daemons. */
  public synchronized void start() {
    peers.onMessage(DemandReport.class, this::answer);
    peers.onMessage(DemandTotals.class, (sender, message) -> shares.onTotals(message.totals()));
    isRunning = true;
    scheduleNext(MIN_INTERVAL);
  }

  /** Stops sending reports. */
  public synchronized void stop() {
    isRunning = false;
    next.cancel();
  }

  private void answer(String sender, DemandReport report) {
    peers.send(sender, new DemandTotals(aggregator.onReport(sender, report.demands())));
  }

  private synchronized void reportAndScheduleNext() {
    if (!isRunning) {
      return;
    }
    int messages = report();
    long minIntervalNanos = Duration.ofSeconds(messages).toNanos() / MAX_MESSAGES_PER_SECOND;
    scheduleNext(Duration.ofNanos(Math.max(MIN_INTERVAL.toNanos(), minIntervalNanos)));
  }

  private void scheduleNext(Duration interval) {
    double factor = 1 + JITTER * random.nextDouble();
    next =
        scheduler.schedule(
            Duration.ofNanos((long) (interval.toNanos() * factor)), this::reportAndScheduleNext);
  }

  private int report() {
    aggregator.expire();
    Set<String> daemons = new HashSet<>(peers.livePeerIds());
    daemons.add(ownId);
    Map<String, List<WorkspaceDemand>> byOwner =
        shares.ownDemands().stream()
            .collect(Collectors.groupingBy(demand -> owner(demand.workspace(), daemons)));
    byOwner.forEach(this::send);
    return byOwner.size();
  }

  private void send(String owner, List<WorkspaceDemand> demands) {
    if (owner.equals(ownId)) {
      shares.onTotals(aggregator.onReport(ownId, demands));
    } else {
      peers.send(owner, new DemandReport(demands));
    }
  }

  private static String owner(String workspace, Set<String> daemons) {
    return Rendezvous.rank(workspace, daemons, daemonId -> daemonId).get(0);
  }
}
