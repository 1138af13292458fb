package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Passes configuration between daemons: accepted changes are pushed to all, and each daemon
 * regularly asks one random peer for what it lacks, which repairs lost pushes and carries changes
 * to a daemon that is cut off from the platform.
 */
final class ConfigurationExchange {

  private final ConfigurationHolder state;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final Duration pullPeriod;
  private volatile boolean isRunning;

  ConfigurationExchange(
      ConfigurationHolder state,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      Duration pullPeriod) {
    this.state = state;
    this.bus = bus;
    this.scheduler = scheduler;
    this.random = random;
    this.pullPeriod = pullPeriod;
    bus.onMessage(ConfigurationMessage.Push.class, (sender, push) -> state.merge(push.record()));
    bus.onMessage(
        ConfigurationMessage.Update.class, (sender, update) -> state.merge(update.update()));
    bus.onMessage(ConfigurationMessage.Pull.class, this::answerPull);
    bus.onMessage(ConfigurationMessage.RevisionsQuery.class, (sender, query) -> sendRevisions(sender));
    bus.onMessage(ConfigurationMessage.InForceQuery.class, this::answerInForce);
  }

  void start() {
    isRunning = true;
    scheduleNextPull();
  }

  void stop() {
    isRunning = false;
  }

  void push(ConfigurationRecord record) {
    bus.broadcast(new ConfigurationMessage.Push(record));
  }

  private void scheduleNextPull() {
    scheduler.schedule(random.jitter(pullPeriod), this::pullFromOnePeer);
  }

  private void pullFromOnePeer() {
    if (!isRunning) {
      return;
    }
    List<String> peers = new ArrayList<>(bus.livePeerIds());
    if (!peers.isEmpty()) {
      String peer = peers.get(random.nextIndex(peers.size()));
      bus.send(peer, new ConfigurationMessage.Pull(state.revisions()));
    }
    scheduleNextPull();
  }

  private void answerPull(String sender, ConfigurationMessage.Pull pull) {
    for (KindRevision asked : pull.revisions()) {
      boolean isHeld = state.kinds().contains(asked.kind());
      if (!isHeld || state.completeRevision(asked.kind()) == KindState.NOTHING_SEEN) {
        continue;
      }
      KindUpdate update = state.changesSince(asked.kind(), asked.revision());
      if (update.revision() > asked.revision() || !update.records().isEmpty()) {
        bus.send(sender, new ConfigurationMessage.Update(update));
      }
    }
  }

  private void sendRevisions(String sender) {
    if (state.isComplete()) {
      bus.send(sender, new ConfigurationMessage.RevisionsReport(state.revisions()));
    }
  }

  private void answerInForce(String sender, ConfigurationMessage.InForceQuery query) {
    boolean isInForce = state.hasReached(query.kind(), query.name(), query.version());
    bus.send(
        sender,
        new ConfigurationMessage.InForceReport(query.requestId(), isInForce, state.revisions()));
  }
}
