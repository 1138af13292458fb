package org.galenapost.core.drain;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.fleet.BackendServer;

/**
 * Holds the newest order about each backend server and forgets it once a newer version of the
 * server's object is in force. Safe for use by several threads.
 */
public final class DrainOrders {

  private static final int MAX_ORDERS = 10_000;

  private final ConfigurationHolder configuration;
  private final Map<String, DrainOrder> orders = new ConcurrentHashMap<>();

  /** Creates an empty set of orders over the configuration in force. */
  public DrainOrders(ConfigurationHolder configuration) {
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    configuration.onChange(this::forgetIfObsolete);
  }

  /** Takes an order unless it is obsolete or a newer one is held. */
  public void merge(DrainOrder order) {
    boolean isFull = orders.size() >= MAX_ORDERS && !orders.containsKey(order.serverId());
    if (isObsolete(order) || isFull) {
      return;
    }
    orders.merge(order.serverId(), order, (held, other) -> other.replaces(held) ? other : held);
  }

  /** Returns the orders in force. */
  public List<DrainOrder> inForce() {
    orders.values().removeIf(this::isObsolete);
    return List.copyOf(orders.values());
  }

  /** Returns the servers in the states that the orders in force give them. */
  public Collection<BackendServer> applyTo(Collection<BackendServer> servers) {
    return orders.isEmpty() ? servers : servers.stream().map(this::applyTo).toList();
  }

  private BackendServer applyTo(BackendServer server) {
    DrainOrder order = orders.get(server.id());
    return order == null || isObsolete(order) ? server : server.withState(order.state());
  }

  private void forgetIfObsolete(ConfigurationRecord change) {
    if (change.kind() == ConfigurationKind.SERVER) {
      orders.computeIfPresent(change.name(), (id, order) -> isObsolete(order) ? null : order);
    }
  }

  private boolean isObsolete(DrainOrder order) {
    long nextVersion = order.baseVersion() + 1;
    long heldVersion =
        configuration
            .find(ConfigurationKind.SERVER, order.serverId())
            .map(ConfigurationRecord::version)
            .orElse(0L);
    boolean isDeleted =
        heldVersion == 0
            && configuration.hasReached(
                ConfigurationKind.SERVER, order.serverId(), order.baseVersion());
    return heldVersion >= nextVersion || isDeleted;
  }
}
