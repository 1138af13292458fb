package org.galenapost.daemon.gateway.upstream;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.daemon.log.EventLog;

/**
 * The servers that lately sent bytes which belong to no call, or are no answer to it. What such a
 * server sends late may arrive while the next call waits for its answer on the connection and end
 * it, so its connections carry one call each. Must be used on one event loop.
 */
final class StutteringServers {

  /** How long after its last fault a server's connections carry one call each. */
  static final Duration MEMORY = Duration.ofSeconds(10);

  private static final EventLog LOG = EventLog.of(StutteringServers.class);

  private final MonotonicClock clock;
  private final Map<InstanceKey, Long> lastFaultNanos = new HashMap<>();
  private volatile long faultCount;

  StutteringServers(MonotonicClock clock) {
    this.clock = clock;
  }

  void recordFault(InstanceKey server) {
    faultCount++;
    if (!contains(server)) {
      LOG.info("server_stutters").with("server", server.text()).write();
    }
    lastFaultNanos.put(server, clock.nanos());
  }

  boolean contains(InstanceKey server) {
    Long fault = lastFaultNanos.get(server);
    return fault != null && clock.since(fault).compareTo(MEMORY) <= 0;
  }

  /** Returns the number of faults so far; any thread may ask. */
  long faultCount() {
    return faultCount;
  }

  void removeExpired() {
    lastFaultNanos.keySet().removeIf(server -> !contains(server));
  }
}
