package org.galenapost.core.dispatch;

import org.galenapost.core.dispatch.InstanceNotice.Kind;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.peer.PeerBus;

/**
 * Spreads what one daemon finds out about a server to all, so that not every daemon pays for it
 * with calls of its own. Used by one thread.
 */
public final class InstanceStatusBroadcaster {

  private final InstanceHealth health;
  private final InstanceDirectory directory;
  private final PeerBus bus;

  /**
   * Creates the exchange.
   *
   * @param health which servers failed lately
   * @param directory the servers
   * @param bus carries notices
   */
  public InstanceStatusBroadcaster(InstanceHealth health, InstanceDirectory directory, PeerBus bus) {
    this.health = health;
    this.directory = directory;
    this.bus = bus;
  }

  /** Listens to the other daemons. */
  public void start() {
    bus.onMessage(InstanceNotice.class, (sender, notice) -> applyNotice(notice));
  }

  /** Records a loss, and tells the other daemons if it is news. */
  public void onLost(ServerInstance instance) {
    if (health.recordLoss(instance.key())) {
      broadcast(instance, Kind.LOST);
    }
  }

  /** Records a refused connection, and tells the other daemons if it is news. */
  public void onRefused(ServerInstance instance) {
    if (health.recordRefusal(instance.key())) {
      broadcast(instance, Kind.REFUSED);
    }
  }

  /** Records that another instance answers at the address, and tells the other daemons. */
  public void onReplaced(ServerInstance instance) {
    if (directory.markReplaced(instance)) {
      broadcast(instance, Kind.REPLACED);
    }
  }

  private void broadcast(ServerInstance instance, Kind kind) {
    bus.broadcast(new InstanceNotice(instance.id(), instance.startedAtEpochMs(), kind));
  }

  private void applyNotice(InstanceNotice notice) {
    InstanceKey key = new InstanceKey(notice.id(), notice.startedAtEpochMs());
    switch (notice.kind()) {
      case LOST -> health.recordLoss(key);
      case REFUSED -> health.recordRefusal(key);
      case REPLACED ->
          directory
              .find(notice.id())
              .filter(instance -> instance.key().equals(key))
              .ifPresent(directory::markReplaced);
      default -> throw new IllegalStateException("unknown kind " + notice.kind());
    }
  }
}
