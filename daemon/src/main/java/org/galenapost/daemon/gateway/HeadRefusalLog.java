package org.galenapost.daemon.gateway;

import java.time.Duration;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.daemon.log.EventLog;

/** Logs that heads get no room, with their number, at most once a second. */
final class HeadRefusalLog {

  private static final EventLog LOG = EventLog.of(HeadRefusalLog.class);
  private static final Duration PERIOD = Duration.ofSeconds(1);

  private final MonotonicClock clock;
  private boolean hasLogged;
  private long lastNanos;
  private long unloggedCount;

  HeadRefusalLog(MonotonicClock clock) {
    this.clock = clock;
  }

  void recordRefusal() {
    unloggedCount++;
    if (!hasLogged || clock.since(lastNanos).compareTo(PERIOD) >= 0) {
      LOG.warn("head_memory_full").with("heads", unloggedCount).write();
      hasLogged = true;
      lastNanos = clock.nanos();
      unloggedCount = 0;
    }
  }
}
