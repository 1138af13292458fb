package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.Objects;

/**
 * The death of a server while a request ran there.
 *
 * @param serverId the server
 * @param atEpochMs when it was noticed, as time of day in milliseconds
 * @param offset the next offset of the request at the time
 * @param isEarly whether the request had brought no token on the server
 * @param isDecisive whether the request was the only suspect on the server
 */
public record ServerLoss(
    String serverId, long atEpochMs, int offset, boolean isEarly, boolean isDecisive) {

  private static final Duration SAME_DEATH_WINDOW = Duration.ofSeconds(10);
  private static final int EARLY_WEIGHT = 2;
  private static final int LATE_WEIGHT = 1;

  /** Checks that the server is named. */
  public ServerLoss {
    Objects.requireNonNull(serverId, "serverId");
  }

  /**
   * Returns how much the death speaks against the request: a request that is read when the server
   * dies is a likelier cause than one that has streamed for a while.
   */
  int weight() {
    return isEarly ? EARLY_WEIGHT : LATE_WEIGHT;
  }

  /** Returns whether two notices are about one death of the server. */
  boolean isSameLossAs(ServerLoss other) {
    return serverId.equals(other.serverId)
        && Math.abs(atEpochMs - other.atEpochMs) < SAME_DEATH_WINDOW.toMillis();
  }

  /** Returns what both notices of one death say together. */
  ServerLoss merge(ServerLoss other) {
    return new ServerLoss(
        serverId,
        Math.min(atEpochMs, other.atEpochMs),
        Math.max(offset, other.offset),
        isEarly || other.isEarly,
        isDecisive || other.isDecisive);
  }
}
