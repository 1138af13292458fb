package org.galenapost.core.routing;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.galenapost.core.time.MonotonicClock;

/**
 * Remembers which servers hold which prompt prefixes, from cache events and from this daemon's own
 * requests. Events come late and with gaps, so an entry is only a hint: it grows old by itself, and
 * with each event of its server that was missed.
 */
public final class PrefixHints {

  private static final int MAX_ENTRIES = 20_000;
  private static final Duration TIME_TO_LIVE = Duration.ofMinutes(5);
  private static final long MAX_MISSED_EVENTS = 16;

  private final Cache<CachedPrefix, Long> missedEventsWhenStored;
  private final Map<String, Position> positions = new HashMap<>();

  /** Creates an empty memory of at most 20,000 entries. */
  public PrefixHints(MonotonicClock clock) {
    Ticker ticker = clock::nanos;
    this.missedEventsWhenStored =
        Caffeine.newBuilder()
            .maximumSize(MAX_ENTRIES)
            .expireAfterWrite(TIME_TO_LIVE)
            .ticker(ticker)
            .executor(Runnable::run)
            .build();
  }

  /** Takes in one event of a server; one that comes twice is ignored. */
  public synchronized void onEvent(String serverId, CacheEvent event) {
    Position old = position(serverId);
    if (event.sequence() <= old.lastSequence()) {
      return;
    }
    long skipped = old.hasEvents() ? event.sequence() - old.lastSequence() - 1 : 0;
    long missed = old.missedEvents() + skipped;
    positions.put(serverId, new Position(event.sequence(), missed));
    CachedPrefix holding = new CachedPrefix(serverId, event.prefixDigest());
    if (event.isStored()) {
      missedEventsWhenStored.put(holding, missed);
    } else {
      missedEventsWhenStored.invalidate(holding);
    }
  }

  /** Notes that a server has just worked on a prompt with this prefix. */
  public synchronized void onServed(String serverId, String prefixDigest) {
    missedEventsWhenStored.put(new CachedPrefix(serverId, prefixDigest), position(serverId).missedEvents());
  }

  /** Returns whether the server probably holds the prefix. */
  public synchronized boolean isHeld(String serverId, String prefixDigest) {
    Long missed = missedEventsWhenStored.getIfPresent(new CachedPrefix(serverId, prefixDigest));
    return missed != null && position(serverId).missedEvents() - missed <= MAX_MISSED_EVENTS;
  }

  /** Returns the sequence number after which to ask the server for events. */
  public synchronized long lastSequence(String serverId) {
    return position(serverId).lastSequence();
  }

  /** Drops what is known of a server that has failed or is gone; its events may start afresh. */
  public synchronized void invalidate(String serverId) {
    long missed = position(serverId).missedEvents() + MAX_MISSED_EVENTS + 1;
    positions.put(serverId, new Position(0, missed));
  }

  private Position position(String serverId) {
    return positions.getOrDefault(serverId, Position.START);
  }

  /**
   * One event of an engine's prefix cache.
   *
   * @param sequence the position in the engine's events
   * @param isStored whether the prefix was stored rather than evicted
   * @param prefixDigest the digest of the prefix
   */
  public record CacheEvent(long sequence, boolean isStored, String prefixDigest) {}

  private record CachedPrefix(String serverId, String prefixDigest) {}

  private record Position(long lastSequence, long missedEvents) {
    static final Position START = new Position(0, 0);

    boolean hasEvents() {
      return lastSequence > 0;
    }
  }
}
