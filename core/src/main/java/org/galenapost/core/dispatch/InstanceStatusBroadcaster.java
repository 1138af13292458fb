package org.galenapost.core.dispatch;

import org.galenapost.core.dispatch.InstanceNotice.Kind;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.peer.PeerBus;

/**
 * Broadcasts failures of a server that this daemon observes, and applies the notices of other
 * daemons, so that not every daemon loses calls of its own to the same server. Not safe for use by
 * several threads.
 */
public final class InstanceStatusBroadcaster {

  private final InstanceHealth health;
  private final InstanceDirectory directory;
  private final PeerBus bus;
  private final PeerBus fleetBus;

  /**
   * Creates a broadcaster.
   *
   * @param health the recent failures of each server
   * @param directory the known servers
   * @param bus the bus on which notices of failures are sent and received
   * @param fleetBus the bus to all daemons, for the rare notices that no daemon may miss
   */
  public InstanceStatusBroadcaster(
      InstanceHealth health, InstanceDirectory directory, PeerBus bus, PeerBus fleetBus) {
    this.health = health;
    this.directory = directory;
    this.bus = bus;
    this.fleetBus = fleetBus;
  }

  /** Starts to receive notices of other daemons. */
  public void start() {
    bus.onMessage(InstanceNotice.class, (sender, notice) -> applyNotice(notice));
  }

  /** Records a lost server and broadcasts a notice if the server was not avoided before. */
  public void onLost(ServerInstance instance) {
    if (health.recordLoss(instance.key())) {
      bus.broadcast(notice(instance.key(), Kind.LOST));
    }
  }

  /** Records a refused connection and broadcasts a notice if the server was not avoided before. */
  public void onRefused(ServerInstance instance) {
    if (health.recordRefusal(instance.key())) {
      bus.broadcast(notice(instance.key(), Kind.REFUSED));
    }
  }

  /** Records that another instance answers at the server's address, and broadcasts it once. */
  public void onReplaced(ServerInstance instance) {
    if (directory.markReplaced(instance.key())) {
      bus.broadcast(notice(instance.key(), Kind.REPLACED));
    }
  }

  /** Records that a server stated that it leaves, and broadcasts it once to all daemons. */
  public void onLeaving(ServerInstance instance) {
    if (directory.markLeaving(instance.key())) {
      fleetBus.broadcast(notice(instance.key(), Kind.LEAVING));
    }
  }

  private static InstanceNotice notice(InstanceKey instance, Kind kind) {
    return new InstanceNotice(instance.id(), instance.startedAtEpochMs(), kind);
  }

  private void applyNotice(InstanceNotice notice) {
    InstanceKey key = new InstanceKey(notice.id(), notice.startedAtEpochMs());
    switch (notice.kind()) {
      case LOST -> health.recordLoss(key);
      case REFUSED -> health.recordRefusal(key);
      case REPLACED -> directory.markReplaced(key);
      case LEAVING -> directory.markLeaving(key);
      default -> throw new IllegalStateException("unknown kind " + notice.kind());
    }
  }
}
