package org.galenapost.standins.platform;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A token bucket whose capacity is the calls of one second. Not safe for threads. */
final class RateLimiter {

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double callsPerSecond;
  private final LongSupplier nanoTime;
  private double available;
  private long refilledAtNanos;

  RateLimiter(double callsPerSecond, LongSupplier nanoTime) {
    this.callsPerSecond = callsPerSecond;
    this.nanoTime = nanoTime;
    this.available = callsPerSecond;
    this.refilledAtNanos = nanoTime.getAsLong();
  }

  /** Takes one token and returns whether there was one; always true for a rate of 0. */
  boolean tryAcquire() {
    if (callsPerSecond <= 0) {
      return true;
    }
    refill();
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }

  private void refill() {
    long nowNanos = nanoTime.getAsLong();
    double refill = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
    available = Math.min(callsPerSecond, available + refill);
    refilledAtNanos = nowNanos;
  }
}
