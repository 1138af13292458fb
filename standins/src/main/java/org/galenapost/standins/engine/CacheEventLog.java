package org.galenapost.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Log of cache events. An event becomes readable after a lag, and a random share of events is lost,
 * which leaves gaps in the sequence numbers. Not thread-safe.
 */
final class CacheEventLog {

  private static final int MAX_EVENTS = 10_000;

  private final long lagNanos;
  private final double lossProbability;
  private final RandomGenerator random;
  private final LongSupplier nanoTime;
  private final Deque<TimedEvent> events = new ArrayDeque<>();
  private long lastSequence;

  /**
   * Creates an empty log.
   *
   * @param lagMs the age in milliseconds at which an event becomes readable
   * @param lossProbability the probability from 0 to 1 that an event is lost
   * @param random the source of randomness
   * @param nanoTime the monotonic clock in nanoseconds
   */
  CacheEventLog(long lagMs, double lossProbability, RandomGenerator random, LongSupplier nanoTime) {
    this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMs);
    this.lossProbability = lossProbability;
    this.random = random;
    this.nanoTime = nanoTime;
  }

  /** Records an event under the next sequence number, unless the event is lost. */
  void add(Type type, String prefix) {
    lastSequence++;
    if (random.nextDouble() < lossProbability) {
      return;
    }
    events.addLast(new TimedEvent(nanoTime.getAsLong(), new Event(lastSequence, type, prefix)));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the readable events with a sequence number above the given one. */
  Page readableAfter(long sequence) {
    long readableUntilNanos = nanoTime.getAsLong() - lagNanos;
    List<Event> readable =
        events.stream()
            .filter(timed -> timed.recordedAtNanos - readableUntilNanos <= 0)
            .map(TimedEvent::event)
            .filter(event -> event.sequence > sequence)
            .toList();
    long next = readable.isEmpty() ? sequence : readable.get(readable.size() - 1).sequence;
    return new Page(next, readable);
  }

  /** The change of a prefix in the cache. */
  enum Type {
    @JsonProperty("stored")
    STORED,
    @JsonProperty("evicted")
    EVICTED
  }

  /**
   * A change of the cache.
   *
   * @param sequence the sequence number; a gap means a lost event
   * @param type the change
   * @param prefix the digest of the prefix, see {@link PrefixBlocks}
   */
  record Event(long sequence, Type type, String prefix) {}

  /**
   * A page of events.
   *
   * @param next the sequence number to pass to the next call
   * @param events the events in ascending order
   */
  record Page(long next, List<Event> events) {}

  private record TimedEvent(long recordedAtNanos, Event event) {}
}
