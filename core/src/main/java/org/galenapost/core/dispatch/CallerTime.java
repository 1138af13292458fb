package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * The time that a caller allows for its call, in readings of the monotonic clock. How long the call
 * may wait before it is sent follows from it and from the work left.
 *
 * @param deadlineNanos when the whole answer is due, in nanoseconds
 * @param nextEventDueNanos when the caller of a stream leaves if no further event has arrived, in
 *     nanoseconds; empty if it waits until the deadline
 */
public record CallerTime(long deadlineNanos, OptionalLong nextEventDueNanos) {

  /** Lets a refusal reach a caller before its time is over. */
  private static final Duration REFUSAL_MARGIN = Duration.ofMillis(50);

  /**
   * The part of its time that a caller waits at one daemon without a server. With the rest it can
   * come back at another daemon, which may know of servers.
   */
  private static final double WAIT_SHARE = 2.0 / 3;

  /** Checks that every part is present. */
  public CallerTime {
    Objects.requireNonNull(nextEventDueNanos, "nextEventDueNanos");
  }

  /** Returns the time of a caller that waits for the whole answer until the deadline. */
  public static CallerTime until(long deadlineNanos) {
    return new CallerTime(deadlineNanos, OptionalLong.empty());
  }

  /** Returns the time of a caller that leaves a stream earlier if no event arrives. */
  public static CallerTime until(long deadlineNanos, long nextEventDueNanos) {
    return new CallerTime(deadlineNanos, OptionalLong.of(nextEventDueNanos));
  }

  /**
   * Returns the latest moment at which a call can be sent so that its answer is in time. A call
   * that is not sent until then cannot be served any more.
   *
   * @param work the work left
   */
  public long latestSendNanos(WorkLeft work) {
    long forWholeAnswer = deadlineNanos - work.total().toNanos();
    long forNextEvent = nextEventDueNanos.orElse(deadlineNanos) - work.untilFirstEvent().toNanos();
    return earlier(forNextEvent, forWholeAnswer) - REFUSAL_MARGIN.toNanos();
  }

  /**
   * Returns until when a call waits that finds no server: while it can still be answered in time,
   * and while its caller has time to come back at another daemon.
   *
   * @param sinceNanos when the call began to wait, in nanoseconds
   * @param work the work left
   */
  public long latestWaitNanos(long sinceNanos, WorkLeft work) {
    long endNanos = earlier(deadlineNanos, nextEventDueNanos.orElse(deadlineNanos));
    long waitNanos = (long) (WAIT_SHARE * (endNanos - sinceNanos));
    return earlier(latestSendNanos(work), sinceNanos + waitNanos);
  }

  private static long earlier(long nanos, long otherNanos) {
    return nanos - otherNanos < 0 ? nanos : otherNanos;
  }
}
