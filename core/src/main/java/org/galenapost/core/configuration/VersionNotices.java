package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Notifies peers as soon as this daemon holds a newer configuration. A peer that does not receive
 * it from the platform either, pulls it from this daemon and notifies others in turn. So a change
 * that one daemon has read stays in force everywhere, even if the platform loses it afterwards.
 */
final class VersionNotices {

  /** The time after which a change that the platform still shows has usually been read. */
  private static final Duration PLATFORM_MARGIN = Duration.ofMillis(200);

  /** Bounds the messages in a large fleet; the receivers notify others. */
  private static final int MAX_RECEIVERS = 8;

  private final ConfigurationHolder state;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final WatchAssignment assignment;
  private volatile boolean isRunning;
  private long notifiedVersion;
  private boolean isPulling;

  /**
   * Creates the notices and registers their handlers.
   *
   * @param state the configuration in force
   * @param bus sends notices and pulls
   * @param scheduler runs the delayed pulls
   * @param random chooses the receivers
   * @param assignment how long a change may wait for a watch
   */
  VersionNotices(
      ConfigurationHolder state,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      WatchAssignment assignment) {
    this.state = state;
    this.bus = bus;
    this.scheduler = scheduler;
    this.random = random;
    this.assignment = assignment;
    state.onChange(this::notifyPeers);
    bus.onMessage(ConfigurationMessage.VersionNotice.class, this::onNotice);
  }

  void start() {
    isRunning = true;
  }

  void stop() {
    isRunning = false;
  }

  private void notifyPeers(ConfigurationRecord record) {
    KindRevision held = state.revision(record.kind());
    if (!isRunning || !isNewlyHeld(held.contentVersion())) {
      return;
    }
    ConfigurationMessage notice = new ConfigurationMessage.VersionNotice(held);
    List<String> peers = new ArrayList<>(bus.livePeerIds());
    for (int i = 0; i < MAX_RECEIVERS && !peers.isEmpty(); i++) {
      bus.send(peers.remove(random.nextIndex(peers.size())), notice);
    }
  }

  private synchronized boolean isNewlyHeld(long contentVersion) {
    boolean isNew = contentVersion > notifiedVersion;
    notifiedVersion = Math.max(notifiedVersion, contentVersion);
    return isNew;
  }

  private void onNotice(String sender, ConfigurationMessage.VersionNotice notice) {
    if (isBehind(notice.held())) {
      schedulePull(sender, notice.held());
    }
  }

  private void schedulePull(String sender, KindRevision noticed) {
    scheduler.schedule(platformDelay(), () -> pullIfBehind(sender, noticed));
  }

  private Duration platformDelay() {
    return assignment.watchPause().plus(PLATFORM_MARGIN);
  }

  private synchronized void pullIfBehind(String sender, KindRevision noticed) {
    if (!isRunning || !isBehind(noticed)) {
      return;
    }
    if (isPulling) {
      schedulePull(sender, noticed);
      return;
    }
    isPulling = true;
    scheduler.schedule(platformDelay(), this::endPull);
    bus.send(sender, new ConfigurationMessage.Pull(List.of(state.revision(noticed.kind()))));
  }

  private synchronized void endPull() {
    isPulling = false;
  }

  private boolean isBehind(KindRevision noticed) {
    boolean isFollowed = state.kinds().contains(noticed.kind());
    return isFollowed && state.contentVersion(noticed.kind()) < noticed.contentVersion();
  }
}
