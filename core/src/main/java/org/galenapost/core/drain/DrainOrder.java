package org.galenapost.core.drain;

import java.util.Comparator;
import java.util.Objects;
import org.galenapost.core.fleet.ServerState;

/**
 * An operator's order to change the state of one backend server. It is in force until a newer
 * version of the server's configuration object is accepted.
 *
 * @param serverId the id of the backend server
 * @param state the requested state
 * @param baseVersion the version of the server's configuration object that the order is based on
 * @param issuedAtMs when the order was issued, in milliseconds since 1970 by the daemon's clock
 * @param daemonId the id of the daemon that received the order
 */
public record DrainOrder(
    String serverId, ServerState state, long baseVersion, long issuedAtMs, String daemonId) {

  private static final Comparator<DrainOrder> BY_PRECEDENCE =
      Comparator.comparingLong(DrainOrder::baseVersion)
          .thenComparingLong(DrainOrder::issuedAtMs)
          .thenComparing(DrainOrder::daemonId);

  /** Checks that every part is present. */
  public DrainOrder {
    Objects.requireNonNull(serverId, "serverId");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(daemonId, "daemonId");
  }

  /**
   * Returns whether this order replaces another one for the same server: the higher base version
   * wins, then the later issue time, then the higher daemon id.
   */
  boolean replaces(DrainOrder other) {
    return BY_PRECEDENCE.compare(this, other) > 0;
  }
}
