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
    long latest = forWholeAnswer;
    if (nextEventDueNanos.isPresent()) {
      long forNextEvent = nextEventDueNanos.getAsLong() - work.untilFirstEvent().toNanos();
      latest = forNextEvent - forWholeAnswer < 0 ? forNextEvent : forWholeAnswer;
    }
    return latest - REFUSAL_MARGIN.toNanos();
  }
}
