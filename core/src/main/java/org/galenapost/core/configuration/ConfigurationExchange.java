package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Replicates configuration between daemons. Accepted changes are broadcast to all peers. Each
 * daemon also pulls missing changes from one random peer at regular intervals. The pulls repair
 * lost broadcasts and deliver changes to a daemon that cannot reach the platform.
 */
final class ConfigurationExchange {

  private final ConfigurationHolder state;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final Duration pullPeriod;
  private final BooleanSupplier isReady;
  private volatile boolean isRunning;

  ConfigurationExchange(
      ConfigurationHolder state,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      Duration pullPeriod,
      BooleanSupplier isReady) {
    this.state = state;
    this.bus = bus;
    this.scheduler = scheduler;
    this.random = random;
    this.pullPeriod = pullPeriod;
    this.isReady = isReady;
    bus.onMessage(ConfigurationMessage.Push.class, (sender, push) -> state.merge(push.record()));
    bus.onMessage(
        ConfigurationMessage.Update.class, (sender, update) -> state.merge(update.update()));
    bus.onMessage(ConfigurationMessage.Pull.class, this::answerPull);
    bus.onMessage(
        ConfigurationMessage.RevisionsQuery.class, (sender, query) -> sendRevisions(sender));
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
    for (KindRevision requested : pull.revisions()) {
      boolean isHeld = state.kinds().contains(requested.kind());
      if (!isHeld || state.completeRevision(requested.kind()) == KindState.NOTHING_SEEN) {
        continue;
      }
      KindUpdate update = state.changesSince(requested.kind(), requested.revision());
      if (update.revision() > requested.revision() || !update.records().isEmpty()) {
        bus.send(sender, new ConfigurationMessage.Update(update));
      }
      if (state.contentVersion(requested.kind()) > requested.contentVersion()) {
        state
            .objects(requested.kind())
            .forEach(record -> bus.send(sender, new ConfigurationMessage.Push(record)));
      }
    }
  }

  private void sendRevisions(String sender) {
    bus.send(
        sender,
        new ConfigurationMessage.RevisionsReport(state.revisions(), isReady.getAsBoolean()));
  }

  private void answerInForce(String sender, ConfigurationMessage.InForceQuery query) {
    boolean isInForce = state.hasReached(query.kind(), query.name(), query.version());
    bus.send(
        sender,
        new ConfigurationMessage.InForceReport(query.requestId(), isInForce, state.revisions()));
  }
}
