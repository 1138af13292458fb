package org.galenapost.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Cache events, readable only after a lag and with gaps. Not safe for threads. */
final class CacheEventLog {

  private static final int MAX_EVENTS = 10_000;

  private final long lagNanos;
  private final double lossProbability;
  private final RandomGenerator random;
  private final LongSupplier nanoTime;
  private final Deque<TimedEvent> events = new ArrayDeque<>();
  private long lastSequence;

  CacheEventLog(long lagMs, double loss, RandomGenerator random, LongSupplier nanoTime) {
    this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMs);
    this.lossProbability = loss;
    this.random = random;
    this.nanoTime = nanoTime;
  }

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

  /** Returns the events after a sequence number that are old enough to be read. */
  Page readableAfter(long sequence) {
    long newestNanos = nanoTime.getAsLong() - lagNanos;
    List<Event> readable =
        events.stream()
            .filter(timed -> timed.recordedAtNanos - newestNanos <= 0)
            .map(TimedEvent::event)
            .filter(event -> event.sequence > sequence)
            .toList();
    long next = readable.isEmpty() ? sequence : readable.get(readable.size() - 1).sequence;
    return new Page(next, readable);
  }

  /** What happened to a prefix. */
  enum Type {
    @JsonProperty("stored")
    STORED,
    @JsonProperty("evicted")
    EVICTED
  }

  /**
   * One event.
   *
   * @param sequence its number; a gap means a lost event
   * @param type what happened
   * @param prefix the digest of the prefix
   */
  record Event(long sequence, Type type, String prefix) {}

  /**
   * Events to read.
   *
   * @param next the number to name in the next call
   * @param events the events
   */
  record Page(long next, List<Event> events) {}

  private record TimedEvent(long recordedAtNanos, Event event) {}
}
