package org.galenapost.core.origin;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.galenapost.core.time.MonotonicClock;

/**
 * The streams that one daemon has begun and whose callers may still resume them. The oldest ones
 * are dropped beyond a limit. Not safe for use by several threads.
 */
final class StreamsInProgress {

  /** At 26 streams a second and daemon, each of them in progress for more than a minute. */
  static final int MAX_STREAMS = 2_048;

  private final MonotonicClock clock;
  private final Map<String, Entry> entries =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > MAX_STREAMS;
        }
      };

  StreamsInProgress(MonotonicClock clock) {
    this.clock = clock;
  }

  void begin(String stream, StreamOrigin origin, Duration lifetime) {
    entries.put(stream, new Entry(origin, clock.nanos() + lifetime.toNanos()));
  }

  void end(String stream) {
    entries.remove(stream);
  }

  /** Returns the ids of the streams of some services, by service and version. */
  Map<String, Map<String, Set<String>>> ids(Predicate<String> isIncluded) {
    entries.values().removeIf(entry -> entry.expiryNanos - clock.nanos() <= 0);
    Map<String, Map<String, Set<String>>> ids = new TreeMap<>();
    entries.forEach(
        (stream, entry) -> {
          if (isIncluded.test(entry.origin.service())) {
            ids.computeIfAbsent(entry.origin.service(), service -> new TreeMap<>())
                .computeIfAbsent(entry.origin.softwareVersion(), version -> new TreeSet<>())
                .add(stream);
          }
        });
    return ids;
  }

  private record Entry(StreamOrigin origin, long expiryNanos) {}
}
