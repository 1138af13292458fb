package org.galenapost.core.route;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;

/**
 * Holds the route table in force. A document that cannot be read, or whose version is not higher
 * than the one in force, changes nothing. Safe for use by several threads.
 */
public final class RouteTableHolder {

  /** The name of the one object that holds the gateway's configuration. */
  public static final String OBJECT_NAME = "main";

  private final BiConsumer<ConfigurationRecord, String> onFault;
  private final BiConsumer<Optional<RouteTable>, RouteTable> onChange;
  private volatile RouteTable current;

  /**
   * Creates a holder without a table.
   *
   * @param onChange told of the table before and the new one
   * @param onFault told of each document that cannot be used, and why
   */
  public RouteTableHolder(
      BiConsumer<Optional<RouteTable>, RouteTable> onChange,
      BiConsumer<ConfigurationRecord, String> onFault) {
    this.onChange = onChange;
    this.onFault = onFault;
  }

  /** Returns the table in force, empty before the first configuration. */
  public Optional<RouteTable> current() {
    return Optional.ofNullable(current);
  }

  /** Takes a change of the configuration objects over. */
  public void applyChange(ConfigurationRecord record) {
    if (record.kind() != ConfigurationKind.GATEWAY || !record.name().equals(OBJECT_NAME)) {
      return;
    }
    record
        .json()
        .ifPresent(
            json ->
                GatewayConfiguration.read(json)
                    .peek(this::put)
                    .peekLeft(fault -> onFault.accept(record, fault)));
  }

  private synchronized void put(GatewayConfiguration configuration) {
    Optional<RouteTable> before = current();
    if (before.isPresent() && before.get().version() >= configuration.version()) {
      return;
    }
    RouteTable table = RouteTable.of(configuration);
    current = table;
    onChange.accept(before, table);
  }
}
