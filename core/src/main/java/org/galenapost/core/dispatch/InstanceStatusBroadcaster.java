package org.galenapost.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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
  private final Map<InstanceKey, String> reporters = new HashMap<>();
  private final Map<String, Set<String>> unreachedServices = new HashMap<>();

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
    bus.onMessage(InstanceNotice.class, this::applyNotice);
  }

  /**
   * Records the services of which another daemon reaches no server. Failures that it reported of
   * their servers are those of its own links, so they are withdrawn, and later ones are ignored.
   */
  public void setUnreached(String daemonId, Set<String> services) {
    unreachedServices.put(daemonId, Set.copyOf(services));
    List<InstanceKey> withdrawn =
        reporters.entrySet().stream()
            .filter(report -> report.getValue().equals(daemonId))
            .map(Map.Entry::getKey)
            .filter(key -> isUnreachedBy(daemonId, key))
            .toList();
    withdrawn.forEach(
        key -> {
          reporters.remove(key);
          health.withdrawFailure(key);
        });
  }

  private boolean isUnreachedBy(String daemonId, InstanceKey server) {
    Set<String> services = unreachedServices.getOrDefault(daemonId, Set.of());
    return directory
        .find(server.id())
        .map(ServerInstance::service)
        .filter(services::contains)
        .isPresent();
  }

  /** Removes the reports of failures of all servers except the given ones. */
  public void retainOnly(Set<InstanceKey> servers) {
    reporters.keySet().retainAll(servers);
    unreachedServices.keySet().retainAll(bus.livePeerIds());
  }

  /** Records a lost server and broadcasts a notice if the server was not avoided before. */
  public void onLost(ServerInstance instance) {
    reporters.remove(instance.key());
    if (health.recordLoss(instance.key())) {
      bus.broadcast(notice(instance.key(), Kind.LOST));
    }
  }

  /** Records a refused connection and broadcasts a notice if the server was not avoided before. */
  public void onRefused(ServerInstance instance) {
    reporters.remove(instance.key());
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

  private void applyNotice(String sender, InstanceNotice notice) {
    InstanceKey key = new InstanceKey(notice.id(), notice.startedAtEpochMs());
    switch (notice.kind()) {
      case LOST -> applyFailure(sender, key, health::recordLoss);
      case REFUSED -> applyFailure(sender, key, health::recordRefusal);
      case REPLACED -> directory.markReplaced(key);
      case LEAVING -> directory.markLeaving(key);
      default -> throw new IllegalStateException("unknown kind " + notice.kind());
    }
  }

  private void applyFailure(String sender, InstanceKey server, Consumer<InstanceKey> failure) {
    if (isUnreachedBy(sender, server)) {
      return;
    }
    if (!health.isAvoided(server)) {
      reporters.put(server, sender);
    }
    failure.accept(server);
  }
}
