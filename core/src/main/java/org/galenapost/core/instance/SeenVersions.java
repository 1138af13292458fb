package org.galenapost.core.instance;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.galenapost.core.time.MonotonicClock;

/**
 * Remembers which software versions the servers of each service ran lately, also after the last
 * server of a version has gone. Not safe for use by several threads.
 */
final class SeenVersions {

  /** Longer than any stream runs that is still resumed. */
  private static final Duration MEMORY = Duration.ofMinutes(15);

  private final MonotonicClock clock;
  private final Map<String, Map<String, Long>> lastSeenNanos = new HashMap<>();

  SeenVersions(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Records that a server runs now, or ran until now. */
  void add(ServerInstance instance) {
    add(instance.service(), instance.softwareVersion());
  }

  /** Records that a server of a service ran the version until now. */
  void add(String service, String version) {
    lastSeenNanos.computeIfAbsent(service, name -> new HashMap<>()).put(version, clock.nanos());
  }

  /** Returns the services of which a version is remembered. */
  Set<String> services() {
    return Set.copyOf(lastSeenNanos.keySet());
  }

  /** Returns the versions of a service that were added within the given time. */
  Set<String> within(String service, Duration time) {
    Set<String> versions = new HashSet<>();
    lastSeenNanos
        .getOrDefault(service, Map.of())
        .forEach(
            (version, seenNanos) -> {
              if (clock.since(seenNanos).compareTo(time) <= 0) {
                versions.add(version);
              }
            });
    return versions;
  }

  void removeExpired() {
    lastSeenNanos
        .values()
        .forEach(
            versions ->
                versions
                    .values()
                    .removeIf(seenNanos -> clock.since(seenNanos).compareTo(MEMORY) > 0));
    lastSeenNanos.values().removeIf(Map::isEmpty);
  }
}
