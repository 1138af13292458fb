package org.galenapost.core.limits;

import java.time.Duration;
import org.galenapost.core.time.MonotonicClock;

/**
 * A token bucket that refills at a constant rate up to its capacity. Its balance may become
 * negative, so that a cost above the capacity can still be taken. Thread-safe.
 */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock;
  private double tokensPerSecond;
  private double capacityTokens;
  private double balanceTokens;
  private long refilledAtNanos;

  /**
   * Creates a full bucket.
   *
   * @param clock the clock
   * @param tokensPerSecond the refill rate in tokens per second
   * @param capacityTokens the maximum balance in tokens
   */
  public TokenBucket(MonotonicClock clock, double tokensPerSecond, double capacityTokens) {
    this.clock = clock;
    this.tokensPerSecond = tokensPerSecond;
    this.capacityTokens = capacityTokens;
    this.balanceTokens = capacityTokens;
    this.refilledAtNanos = clock.nanos();
  }

  /** Changes rate and capacity; tokens above the new capacity are discarded. */
  public synchronized void resize(double newTokensPerSecond, double newCapacityTokens) {
    refill();
    tokensPerSecond = newTokensPerSecond;
    capacityTokens = newCapacityTokens;
    balanceTokens = Math.min(balanceTokens, capacityTokens);
  }

  /** Takes tokens if the balance covers all of them; returns whether it did. */
  public synchronized boolean tryTake(double tokens) {
    refill();
    if (balanceTokens < tokens) {
      return false;
    }
    balanceTokens -= tokens;
    return true;
  }

  /**
   * Takes tokens if the balance is positive, even if it becomes negative; returns whether it did.
   */
  public synchronized boolean tryTakeWithDebt(double tokens) {
    refill();
    if (balanceTokens <= 0) {
      return false;
    }
    balanceTokens -= tokens;
    return true;
  }

  /** Takes tokens unconditionally and returns the time until the balance is no longer negative. */
  public synchronized Duration reserve(double tokens) {
    refill();
    balanceTokens -= tokens;
    return timeToRefill(-balanceTokens);
  }

  /** Adds tokens, up to the capacity. */
  public synchronized void add(double tokens) {
    refill();
    balanceTokens = Math.min(capacityTokens, balanceTokens + tokens);
  }

  /** Returns the time until the balance reaches this many tokens. */
  public synchronized Duration timeUntil(double tokens) {
    refill();
    return timeToRefill(tokens - balanceTokens);
  }

  /** Returns the balance in tokens, which may be negative. */
  public synchronized double balanceTokens() {
    refill();
    return balanceTokens;
  }

  private Duration timeToRefill(double missingTokens) {
    if (missingTokens <= 0) {
      return Duration.ZERO;
    }
    return Duration.ofNanos((long) (missingTokens / tokensPerSecond * NANOS_PER_SECOND));
  }

  private void refill() {
    long nowNanos = clock.nanos();
    double refilledTokens = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * tokensPerSecond;
    balanceTokens = Math.min(capacityTokens, balanceTokens + refilledTokens);
    refilledAtNanos = nowNanos;
  }
}
