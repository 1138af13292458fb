package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Keeps the state up to date from the platform and the peers, and says when it may be relied on:
 * after a full listing of every kind, or after the peers' highest revision was taken over.
 */
public final class ConfigurationFollower {

  private final Set<ConfigurationKind> followedKinds;
  private final List<KindWatch> watches = new ArrayList<>();
  private final ConfigurationExchange exchange;
  private final WatchSharing sharing;
  private final PeerColdStart coldStart;
  private final Set<ConfigurationKind> listedKinds = EnumSet.noneOf(ConfigurationKind.class);
  private volatile boolean isReady;

  /**
   * Creates a follower with the usual settings that tells nobody whether the platform answers.
   *
   * @param state the state to keep up to date
   * @param store the platform's object API
   * @param bus carries messages to the peers
   * @param scheduler runs retries and rounds
   * @param random spreads retries
   * @param watchWait how long the platform holds a watch when nothing changes
   */
  public ConfigurationFollower(
      ConfigurationHolder state,
      ObjectStore store,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      Duration watchWait) {
    this(
        state,
        store,
        bus,
        scheduler,
        random,
        FollowSettings.withWatchWait(watchWait),
        WatchAssignment.always(),
        new PlatformReachability(() -> 0, isReached -> {}));
  }

  /**
   * Creates a follower.
   *
   * @param state the state to keep up to date
   * @param store the platform's object API
   * @param bus carries messages to the peers
   * @param scheduler runs retries and rounds
   * @param random spreads retries
   * @param settings how often and how long it asks
   * @param duty whether this daemon watches, and whom it tells
   * @param reach told whether the platform answers
   */
  public ConfigurationFollower(
      ConfigurationHolder state,
      ObjectStore store,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      FollowSettings settings,
      WatchAssignment duty,
      PlatformReachability reach) {
    this.followedKinds = state.kinds();
    sharing =
        new WatchSharing(state, bus, scheduler, duty, reach, this::areWatchesUpToDate, this::pollOnce);
    for (ConfigurationKind kind : followedKinds) {
      KindClient calls = new KindClient(kind, store, settings.watchWait(), reach);
      watches.add(
          new KindWatch(
              calls,
              state,
              scheduler,
              random,
              settings.maxBackoff(),
              duty.forKind(kind),
              () -> markListed(kind),
              sharing::report));
    }
    exchange = new ConfigurationExchange(state, bus, scheduler, random, settings.pullPeriod());
    coldStart = new PeerColdStart(state, bus, scheduler, () -> isReady = true);
  }

  /** Starts to follow. */
  public void start() {
    watches.forEach(KindWatch::start);
    sharing.start();
    exchange.start();
    if (!isReady) {
      coldStart.start();
    }
  }

  /** Stops; calls in progress end without effect on later ones. */
  public void stop() {
    watches.forEach(KindWatch::stop);
    sharing.stop();
    exchange.stop();
    coldStart.stop();
  }

  private void pollOnce(ConfigurationKind kind) {
    watches.stream().filter(watch -> watch.kind() == kind).forEach(KindWatch::pollOnce);
  }

  private boolean areWatchesUpToDate() {
    return watches.stream().allMatch(KindWatch::isUpToDate);
  }

  /** Returns whether the state may be relied on. */
  public boolean isReady() {
    return isReady;
  }

  /** Tells all peers of an accepted change. */
  public void push(ConfigurationRecord record) {
    exchange.push(record);
  }

  private void markListed(ConfigurationKind kind) {
    synchronized (listedKinds) {
      listedKinds.add(kind);
      if (listedKinds.size() < followedKinds.size()) {
        return;
      }
    }
    isReady = true;
    coldStart.stop();
  }
}
