package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.time.MonotonicClock;

/** The servers that one call is not sent to for now, since an earlier send to them failed. */
final class ExcludedServers {

  private final MonotonicClock clock;
  private final Map<InstanceKey, Long> untilNanos = new HashMap<>();

  ExcludedServers(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Leaves a server out until the next check. */
  void add(InstanceKey server) {
    add(server, Duration.ZERO);
  }

  /** Leaves a server out until the first check after a time. */
  void add(InstanceKey server, Duration time) {
    untilNanos.put(server, clock.nanos() + time.toNanos());
  }

  /** Admits the servers whose time is over, unless they cannot be back. */
  void check(Predicate<InstanceKey> isGone) {
    untilNanos
        .entrySet()
        .removeIf(entry -> entry.getValue() - clock.nanos() <= 0 && !isGone.test(entry.getKey()));
  }

  Set<InstanceKey> keys() {
    return Set.copyOf(untilNanos.keySet());
  }
}
