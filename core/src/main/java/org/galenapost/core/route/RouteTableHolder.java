package org.galenapost.core.route;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;

/**
 * Holds the route table in force. A document that is not valid, or whose version is not higher than
 * the one in force, is ignored. Safe for use by several threads.
 */
public final class RouteTableHolder {

  /** The name of the configuration object that contains the gateway configuration. */
  public static final String OBJECT_NAME = "main";

  private final BiConsumer<ConfigurationRecord, String> onFault;
  private final BiConsumer<Optional<RouteTable>, RouteTable> onChange;
  private volatile RouteTable current;

  /**
   * Creates a holder without a route table.
   *
   * @param onChange notified of the previous and the new table
   * @param onFault notified of each document that is not valid, with a description of the error
   */
  public RouteTableHolder(
      BiConsumer<Optional<RouteTable>, RouteTable> onChange,
      BiConsumer<ConfigurationRecord, String> onFault) {
    this.onChange = onChange;
    this.onFault = onFault;
  }

  /** Returns the route table in force; empty before the first configuration. */
  public Optional<RouteTable> current() {
    return Optional.ofNullable(current);
  }

  /** Applies a change of a configuration object. */
  public void applyChange(ConfigurationRecord record) {
    if (record.kind() != ConfigurationKind.GATEWAY || !record.name().equals(OBJECT_NAME)) {
      return;
    }
    record
        .json()
        .ifPresent(
            json ->
                GatewayConfiguration.read(json)
                    .peek(this::replaceIfNewer)
                    .peekLeft(fault -> onFault.accept(record, fault)));
  }

  private synchronized void replaceIfNewer(GatewayConfiguration configuration) {
    Optional<RouteTable> previous = current();
    if (previous.isPresent() && previous.get().version() >= configuration.version()) {
      return;
    }
    RouteTable table = RouteTable.of(configuration);
    current = table;
    onChange.accept(previous, table);
  }
}
