package org.galenapost.core.origin;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.galenapost.core.time.MonotonicClock;

/**
 * The origins that one daemon knows, each until its stream can no longer be resumed. The oldest
 * ones are dropped beyond a limit. Not safe for use by several threads.
 */
final class KnownOrigins {

  /**
   * Bounds the memory to some MB. At 13,000 streams a second over 500 daemons, each daemon learns
   * about 130 origins a second, so that this suffices for eight minutes.
   */
  static final int MAX_ORIGINS = 65_536;

  /** Bounds how long a caller may keep an origin in memory. */
  static final Duration MAX_LIFETIME = Duration.ofMinutes(15);

  private final MonotonicClock clock;
  private final Map<String, Entry> entries =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > MAX_ORIGINS;
        }
      };

  KnownOrigins(MonotonicClock clock) {
    this.clock = clock;
  }

  void put(String stream, StreamOrigin origin, Duration lifetime) {
    Duration bounded = lifetime.compareTo(MAX_LIFETIME) < 0 ? lifetime : MAX_LIFETIME;
    entries.remove(stream);
    entries.put(stream, new Entry(origin, clock.nanos() + bounded.toNanos()));
  }

  /** Keeps an origin unless the stream's is known already. */
  void putIfAbsent(String stream, StreamOrigin origin, Duration lifetime) {
    if (find(stream).isEmpty()) {
      put(stream, origin, lifetime);
    }
  }

  Optional<StreamOrigin> find(String stream) {
    return Optional.ofNullable(entries.get(stream))
        .filter(entry -> entry.expiryNanos - clock.nanos() > 0)
        .map(Entry::origin);
  }

  void removeExpired() {
    entries.values().removeIf(entry -> entry.expiryNanos - clock.nanos() <= 0);
  }

  int size() {
    return entries.size();
  }

  private record Entry(StreamOrigin origin, long expiryNanos) {}
}
