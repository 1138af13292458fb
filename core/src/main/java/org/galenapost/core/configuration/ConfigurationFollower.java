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
 * Keeps the configuration state up to date from the platform and the peers. The state is ready
 * after a full listing of every kind and a comparison with the peers, or once it has reached the
 * highest revision of the peers.
 */
public final class ConfigurationFollower {

  private final Set<ConfigurationKind> followedKinds;
  private final List<KindWatch> watches = new ArrayList<>();
  private final ConfigurationExchange exchange;
  private final WatchSharing sharing;
  private final VersionNotices notices;
  private final PeerColdStart coldStart;
  private final PeerVersionCheck versionCheck;
  private final Set<ConfigurationKind> listedKinds = EnumSet.noneOf(ConfigurationKind.class);
  private volatile boolean isReady;

  /**
   * Creates a follower with the default settings that watches every kind itself and notifies no one
   * of the reachability of the platform.
   *
   * @param state the state to keep up to date
   * @param store the platform's object API
   * @param bus sends messages to the peers
   * @param scheduler runs retries and periodic tasks
   * @param random supplies the jitter of retries
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
        new PlatformReachability(() -> 0, isReachable -> {}),
        StartCheck.withoutPeers());
  }

  /**
   * Creates a follower.
   *
   * @param state the state to keep up to date
   * @param store the platform's object API
   * @param bus sends messages to the peers
   * @param scheduler runs retries and periodic tasks
   * @param random supplies the jitter of retries
   * @param settings the watch wait, the maximum backoff and the pull period
   * @param assignment whether this daemon watches the platform, and which peers it reports to
   * @param reachability records whether the platform answers
   * @param startCheck what the comparison with the peers depends on
   */
  public ConfigurationFollower(
      ConfigurationHolder state,
      ObjectStore store,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      FollowSettings settings,
      WatchAssignment assignment,
      PlatformReachability reachability,
      StartCheck startCheck) {
    this.followedKinds = state.kinds();
    sharing =
        new WatchSharing(
            state,
            bus,
            scheduler,
            assignment,
            reachability,
            this::areWatchesUpToDate,
            this::pollOnce);
    for (ConfigurationKind kind : followedKinds) {
      KindClient client = new KindClient(kind, store, settings.watchWait(), reachability);
      watches.add(
          new KindWatch(
              client,
              state,
              scheduler,
              random,
              settings.maxBackoff(),
              assignment.forKind(kind),
              () -> markListed(kind),
              sharing::report));
    }
    exchange =
        new ConfigurationExchange(
            state, bus, scheduler, random, settings.pullPeriod(), this::isReady);
    notices = new VersionNotices(state, bus, scheduler, random, assignment);
    coldStart = new PeerColdStart(state, bus, scheduler, this::becomeReady);
    versionCheck =
        new PeerVersionCheck(state, bus, scheduler, random, startCheck, this::becomeReady);
  }

  /** Starts the watches, the periodic reports and pulls, and the cold start from the peers. */
  public void start() {
    notices.start();
    watches.forEach(KindWatch::start);
    sharing.start();
    exchange.start();
    if (!isReady) {
      coldStart.start();
    }
  }

  /** Stops; calls in flight may still complete, but no further call follows. */
  public void stop() {
    watches.forEach(KindWatch::stop);
    sharing.stop();
    exchange.stop();
    notices.stop();
    coldStart.stop();
    versionCheck.stop();
  }

  private void becomeReady() {
    isReady = true;
  }

  private void pollOnce(ConfigurationKind kind) {
    watches.stream().filter(watch -> watch.kind() == kind).forEach(KindWatch::pollOnce);
  }

  private boolean areWatchesUpToDate() {
    return watches.stream().allMatch(KindWatch::isUpToDate);
  }

  /** Returns whether the state is complete enough to serve requests. */
  public boolean isReady() {
    return isReady;
  }

  /** Broadcasts an accepted change to all peers. */
  public void push(ConfigurationRecord record) {
    exchange.push(record);
  }

  private void markListed(ConfigurationKind kind) {
    watches.stream().filter(watch -> watch.kind() != kind).forEach(KindWatch::retryNow);
    synchronized (listedKinds) {
      listedKinds.add(kind);
      if (listedKinds.size() < followedKinds.size()) {
        return;
      }
    }
    coldStart.stop();
    if (!isReady) {
      versionCheck.start();
    }
  }
}
