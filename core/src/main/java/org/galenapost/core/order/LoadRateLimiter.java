package org.galenapost.core.order;

import java.util.function.ToLongFunction;
import org.galenapost.core.limits.TokenBucket;
import org.galenapost.core.time.MonotonicClock;

/**
 * Holds the loads that this daemon orders to its share of the weight store's rate. A load may start
 * while the bucket is not in debt, and takes its whole size.
 */
public final class LoadRateLimiter {

  private final double storeBytesPerSecond;
  private final ToLongFunction<OrderStep> sizeBytes;
  private final TokenBucket bucket;

  /**
   * Creates the pace of a daemon that is alone.
   *
   * @param clock the clock
   * @param storeBytesPerSecond the rate that the weight store gives to all
   * @param sizeBytes tells how much a step reads from the store
   */
  public LoadRateLimiter(
      MonotonicClock clock, double storeBytesPerSecond, ToLongFunction<OrderStep> sizeBytes) {
    this.storeBytesPerSecond = storeBytesPerSecond;
    this.sizeBytes = sizeBytes;
    this.bucket = new TokenBucket(clock, storeBytesPerSecond, storeBytesPerSecond);
  }

  /** Shares the rate with all other live daemons. */
  public void shareAmong(int daemons) {
    double share = storeBytesPerSecond / Math.max(1, daemons);
    bucket.resize(share, share);
  }

  /** Takes a step's share of the rate; returns whether the step may start. */
  boolean tryStart(OrderStep step) {
    long bytes = sizeBytes.applyAsLong(step);
    return bytes <= 0 || bucket.tryTakeWithDebt(bytes);
  }

  /** Gives the share of a step back that did not start. */
  void refund(OrderStep step) {
    bucket.add(Math.max(0, sizeBytes.applyAsLong(step)));
  }
}
