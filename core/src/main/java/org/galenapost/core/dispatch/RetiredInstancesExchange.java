package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Exchanges which servers must not receive calls again, so that a daemon that starts, or that
 * missed a notice, learns it from its peers. Each daemon sends what it knows to one random peer at
 * regular intervals and receives what it lacks. Not safe for use by several threads.
 */
public final class RetiredInstancesExchange {

  /** Well below the time within which a leaving server must receive nothing more. */
  private static final Duration PERIOD = Duration.ofSeconds(1);

  private final InstanceDirectory directory;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final RandomSource random;
  private boolean isRunning;

  /**
   * Creates an exchange.
   *
   * @param directory the known servers
   * @param bus sends messages to the peers
   * @param scheduler runs the periodic exchange
   * @param random chooses the peer and the jitter
   */
  public RetiredInstancesExchange(
      InstanceDirectory directory, PeerBus bus, Scheduler scheduler, RandomSource random) {
    this.directory = directory;
    this.bus = bus;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Starts the periodic exchange. */
  public void start() {
    isRunning = true;
    bus.onMessage(RetiredInstancesReport.class, this::onReport);
    scheduleNext();
  }

  /** Stops the periodic exchange. */
  public void stop() {
    isRunning = false;
  }

  private void scheduleNext() {
    scheduler.schedule(random.jitter(PERIOD), this::reportToOnePeer);
  }

  private void reportToOnePeer() {
    if (!isRunning) {
      return;
    }
    List<String> peers = new ArrayList<>(bus.livePeerIds());
    if (!peers.isEmpty()) {
      String peer = peers.get(random.nextIndex(peers.size()));
      bus.send(peer, new RetiredInstancesReport(directory.retired(), true));
    }
    scheduleNext();
  }

  private void onReport(String sender, RetiredInstancesReport report) {
    report.instances().forEach(directory::markLeaving);
    if (!report.isAnswerWanted()) {
      return;
    }
    Set<InstanceKey> known = new HashSet<>(report.instances());
    List<InstanceKey> lacking =
        directory.retired().stream().filter(key -> !known.contains(key)).toList();
    if (!lacking.isEmpty()) {
      bus.send(sender, new RetiredInstancesReport(lacking, false));
    }
  }
}
