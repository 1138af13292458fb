package org.galenapost.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.galenapost.core.time.MonotonicClock;

/**
 * Decides when to send the whole view: after a peer's digest differed several times in a row, and
 * not more often than once per interval.
 */
final class TableExchange {

  private static final int MAX_PEERS = 64;
  private static final int DIFFERENCES_TO_SEND = 3;

  private final long intervalNanos;
  private final MonotonicClock clock;
  private final Map<String, Integer> differencesByPeer = new HashMap<>();
  private long lastSentNanos;

  TableExchange(Duration interval, MonotonicClock clock) {
    this.intervalNanos = interval.toNanos();
    this.clock = clock;
    this.lastSentNanos = clock.nanos() - intervalNanos;
  }

  /** Records whether a peer's digest is the same as the own one, and decides. */
  boolean shouldSendTable(String peerId, boolean isSame) {
    if (isSame) {
      differencesByPeer.remove(peerId);
      return false;
    }
    if (differencesByPeer.size() >= MAX_PEERS) {
      differencesByPeer.clear();
    }
    int differences = differencesByPeer.merge(peerId, 1, Integer::sum);
    long nowNanos = clock.nanos();
    if (differences < DIFFERENCES_TO_SEND || nowNanos - lastSentNanos < intervalNanos) {
      return false;
    }
    differencesByPeer.remove(peerId);
    lastSentNanos = nowNanos;
    return true;
  }
}
