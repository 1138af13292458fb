package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.time.MonotonicClock;

/**
 * Remembers which servers failed lately. A server that could not be reached is avoided for a pause
 * that doubles; the share of failed calls tells servers that fail some of them. Used by one thread.
 */
public final class InstanceHealth {

  private static final Duration FIRST_PAUSE = Duration.ofMillis(300);
  private static final int MAX_PAUSE_DOUBLINGS = 3;

  /** A host that refuses connections runs the server no more; a new start has another key. */
  private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofSeconds(4);

  private static final double FAILURE_WEIGHT = 0.2;
  private static final double SUCCESS_WEIGHT = 0.1;

  private final MonotonicClock clock;
  private final Map<InstanceKey, Record> records = new HashMap<>();

  /** Creates a memory without failures. */
  public InstanceHealth(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Records that a server was lost in the middle of a call, or did not answer a connection.
   *
   * @return whether this is news
   */
  public boolean recordLoss(InstanceKey instance) {
    Record record = record(instance);
    Duration pause = FIRST_PAUSE.multipliedBy(1L << record.losses);
    record.losses = Math.min(MAX_PAUSE_DOUBLINGS, record.losses + 1);
    return avoid(record, pause);
  }

  /**
   * Records that a server's host refused a connection.
   *
   * @return whether this is news
   */
  public boolean recordRefusal(InstanceKey instance) {
    return avoid(record(instance), PAUSE_AFTER_REFUSAL);
  }

  private boolean avoid(Record record, Duration pause) {
    long untilNanos = clock.nanos() + pause.toNanos();
    boolean isNews = !record.isAvoided || record.avoidUntilNanos - clock.nanos() <= 0;
    boolean isLonger = isNews || untilNanos - record.avoidUntilNanos > 0;
    record.isAvoided = true;
    if (isLonger) {
      record.avoidUntilNanos = untilNanos;
    }
    return isNews;
  }

  /** Records that a server was reached but failed a call. */
  public void recordFailure(InstanceKey instance) {
    Record record = record(instance);
    record.failureShare += FAILURE_WEIGHT * (1 - record.failureShare);
  }

  /** Records that a server answered a call. */
  public void recordSuccess(InstanceKey instance) {
    Record record = records.get(instance);
    if (record != null) {
      record.losses = 0;
      record.isAvoided = false;
      record.failureShare -= SUCCESS_WEIGHT * record.failureShare;
    }
  }

  /** Returns whether a server was lost so lately that it is a last resort. */
  public boolean isAvoided(InstanceKey instance) {
    Record record = records.get(instance);
    return record != null && record.isAvoided && record.avoidUntilNanos - clock.nanos() > 0;
  }

  /** Returns the recent share of failed calls, from 0 to 1. */
  public double failureShare(InstanceKey instance) {
    Record record = records.get(instance);
    return record == null ? 0 : record.failureShare;
  }

  /** Forgets every server but the given ones. */
  public void retainOnly(Set<InstanceKey> instances) {
    records.keySet().retainAll(instances);
  }

  private Record record(InstanceKey instance) {
    return records.computeIfAbsent(instance, key -> new Record());
  }

  private static final class Record {
    private int losses;
    private boolean isAvoided;
    private long avoidUntilNanos;
    private double failureShare;
  }
}
