package org.galenapost.core.order;

import java.util.function.ToLongFunction;
import org.galenapost.core.limits.TokenBucket;
import org.galenapost.core.time.MonotonicClock;

/**
 * Limits the model loads that this daemon orders to its share of the weight store's throughput. A
 * load can start while the token bucket is not in debt, and takes tokens for its full size.
 */
public final class LoadRateLimiter {

  private final double storeBytesPerSecond;
  private final ToLongFunction<OrderStep> sizeBytes;
  private final TokenBucket bucket;

  /**
   * Creates the limiter with the full throughput, for a single daemon.
   *
   * @param clock the monotonic clock
   * @param storeBytesPerSecond the total throughput of the weight store, in bytes per second
   * @param sizeBytes returns the bytes that a step reads from the store
   */
  public LoadRateLimiter(
      MonotonicClock clock, double storeBytesPerSecond, ToLongFunction<OrderStep> sizeBytes) {
    this.storeBytesPerSecond = storeBytesPerSecond;
    this.sizeBytes = sizeBytes;
    this.bucket = new TokenBucket(clock, storeBytesPerSecond, storeBytesPerSecond);
  }

  /** Divides the throughput evenly among this number of live daemons. */
  public void shareAmong(int daemons) {
    double share = storeBytesPerSecond / Math.max(1, daemons);
    bucket.resize(share, share);
  }

  /** Tries to take the tokens for a step; returns whether the step can start. */
  boolean tryStart(OrderStep step) {
    long bytes = sizeBytes.applyAsLong(step);
    return bytes <= 0 || bucket.tryTakeWithDebt(bytes);
  }

  /** Returns the tokens of a step that was not started. */
  void refund(OrderStep step) {
    bucket.add(Math.max(0, sizeBytes.applyAsLong(step)));
  }
}
