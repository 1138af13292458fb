package org.galenapost.core.dispatch;

import java.time.Duration;
import org.galenapost.core.time.RandomSource;

/**
 * Decides when a refused caller is told to come back, from the time that it has left and from what
 * is known of when its call can be served.
 */
public final class ReturnDelay {

  /** Callers follow no delay that is longer than this part of the time that they have left. */
  private static final int FOLLOWED_PART = 3;

  private final RandomSource random;

  /** Creates delays that are spread at random. */
  public ReturnDelay(RandomSource random) {
    this.random = random;
  }

  /**
   * Returns the delay of a caller of whose call nothing is known: the longest that it follows, so
   * that servers have the most time to come back and the caller has enough left for its answer.
   *
   * @param timeLeft the time that the caller has left
   */
  public Duration whileNothingIsKnown(Duration timeLeft) {
    return timeLeft.isNegative() ? Duration.ZERO : timeLeft.dividedBy(FOLLOWED_PART);
  }

  /**
   * Returns the delay of a caller whose call found all places taken. The calls that take them end
   * one after the other within the time of one run, and so the callers return.
   *
   * @param runTime the time that a run of the service takes; zero if it is not known
   * @param timeLeft the time that the caller has left
   */
  public Duration untilRoom(Duration runTime, Duration timeLeft) {
    Duration longest = whileNothingIsKnown(timeLeft);
    if (runTime.isZero()) {
      return longest;
    }
    return atMost(spreadOver(runTime), longest);
  }

  /** Returns a random part of the time in which the calls end that take all places now. */
  public Duration spreadOver(Duration runTime) {
    return Duration.ofNanos((long) (runTime.toNanos() * random.nextDouble()));
  }

  /**
   * Returns the delay of a caller that has to wait for an event that is known.
   *
   * @param event the time until the event
   * @param timeLeft the time that the caller has left
   */
  public Duration until(Duration event, Duration timeLeft) {
    return atMost(event, whileNothingIsKnown(timeLeft));
  }

  private static Duration atMost(Duration delay, Duration longest) {
    return delay.compareTo(longest) < 0 ? delay : longest;
  }
}
