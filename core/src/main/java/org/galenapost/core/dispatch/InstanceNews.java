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
public final class InstanceNews {

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
  public InstanceNews(InstanceHealth health, InstanceDirectory directory, PeerBus bus) {
    this.health = health;
    this.directory = directory;
    this.bus = bus;
  }

  /** Listens to the other daemons. */
  public void start() {
    bus.onMessage(InstanceNotice.class, (sender, notice) -> accept(notice));
  }

  /** Records a loss, and tells the other daemons if it is news. */
  public void lost(ServerInstance instance) {
    if (health.lost(instance.key())) {
      tell(instance, Kind.LOST);
    }
  }

  /** Records a refused connection, and tells the other daemons if it is news. */
  public void refused(ServerInstance instance) {
    if (health.refused(instance.key())) {
      tell(instance, Kind.REFUSED);
    }
  }

  /** Records that another instance answers at the address, and tells the other daemons. */
  public void replaced(ServerInstance instance) {
    if (directory.markReplaced(instance)) {
      tell(instance, Kind.REPLACED);
    }
  }

  private void tell(ServerInstance instance, Kind kind) {
    bus.broadcast(new InstanceNotice(instance.id(), instance.startedAtEpochMs(), kind));
  }

  private void accept(InstanceNotice notice) {
    InstanceKey key = new InstanceKey(notice.id(), notice.startedAtEpochMs());
    switch (notice.kind()) {
      case LOST -> health.lost(key);
      case REFUSED -> health.refused(key);
      case REPLACED ->
          directory
              .find(notice.id())
              .filter(instance -> instance.key().equals(key))
              .ifPresent(directory::markReplaced);
      default -> throw new IllegalStateException("unknown kind " + notice.kind());
    }
  }
}
