package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.Objects;

/**
 * The loss of a server while a request ran on it.
 *
 * @param serverId the server
 * @param atEpochMs when the loss was detected, in milliseconds since 1970
 * @param offset the next offset of the request at that time
 * @param isEarly whether the request had produced no token on this server
 * @param isDecisive whether the request was the only suspect on this server
 */
public record ServerLoss(
    String serverId, long atEpochMs, int offset, boolean isEarly, boolean isDecisive) {

  private static final Duration SAME_LOSS_WINDOW = Duration.ofSeconds(10);
  private static final int EARLY_WEIGHT = 2;
  private static final int LATE_WEIGHT = 1;

  /** Checks that the server is named. */
  public ServerLoss {
    Objects.requireNonNull(serverId, "serverId");
  }

  /**
   * Returns the weight of this loss as evidence against the request. A request whose prompt is
   * being processed when the server crashes is a more likely cause than one that has already
   * streamed.
   */
  int weight() {
    return isEarly ? EARLY_WEIGHT : LATE_WEIGHT;
  }

  /** Returns whether both records describe the same loss of the same server. */
  boolean isSameLossAs(ServerLoss other) {
    return serverId.equals(other.serverId)
        && Math.abs(atEpochMs - other.atEpochMs) < SAME_LOSS_WINDOW.toMillis();
  }

  /** Merges two records of the same loss. */
  ServerLoss merge(ServerLoss other) {
    return new ServerLoss(
        serverId,
        Math.min(atEpochMs, other.atEpochMs),
        Math.max(offset, other.offset),
        isEarly || other.isEarly,
        isDecisive || other.isDecisive);
  }
}
