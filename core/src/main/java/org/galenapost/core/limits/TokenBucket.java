package org.galenapost.core.limits;

import java.time.Duration;
import org.galenapost.core.time.MonotonicClock;

/**
 * A bucket that fills at a steady rate up to a bound. It may go into debt, so that one cost larger
 * than the bound can still be paid. Safe for use by several threads.
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
   * @param tokensPerSecond the rate of filling
   * @param capacityTokens the most tokens that it holds
   */
  public TokenBucket(MonotonicClock clock, double tokensPerSecond, double capacityTokens) {
    this.clock = clock;
    this.tokensPerSecond = tokensPerSecond;
    this.capacityTokens = capacityTokens;
    this.balanceTokens = capacityTokens;
    this.refilledAtNanos = clock.nanos();
  }

  /** Changes rate and capacity; what the bucket holds above its new capacity is lost. */
  public synchronized void resize(double newTokensPerSecond, double newCapacityTokens) {
    refill();
    tokensPerSecond = newTokensPerSecond;
    capacityTokens = newCapacityTokens;
    balanceTokens = Math.min(balanceTokens, capacityTokens);
  }

  /** Takes tokens only if all of them are there; returns whether it did. */
  public synchronized boolean tryTake(double tokens) {
    refill();
    if (balanceTokens < tokens) {
      return false;
    }
    balanceTokens -= tokens;
    return true;
  }

  /** Takes tokens if the bucket is not in debt, going into debt if needed; returns whether. */
  public synchronized boolean tryTakeWithDebt(double tokens) {
    refill();
    if (balanceTokens <= 0) {
      return false;
    }
    balanceTokens -= tokens;
    return true;
  }

  /** Takes tokens in any case and returns how long the taker must wait before it may go on. */
  public synchronized Duration reserve(double tokens) {
    refill();
    balanceTokens -= tokens;
    return timeToGain(-balanceTokens);
  }

  /** Gives tokens, up to the capacity. */
  public synchronized void add(double tokens) {
    refill();
    balanceTokens = Math.min(capacityTokens, balanceTokens + tokens);
  }

  /** Returns how long it takes until the bucket holds this many tokens. */
  public synchronized Duration timeUntil(double tokens) {
    refill();
    return timeToGain(tokens - balanceTokens);
  }

  /** Returns the tokens in the bucket; below 0 in debt. */
  public synchronized double balanceTokens() {
    refill();
    return balanceTokens;
  }

  private Duration timeToGain(double missingTokens) {
    if (missingTokens <= 0) {
      return Duration.ZERO;
    }
    return Duration.ofNanos((long) (missingTokens / tokensPerSecond * NANOS_PER_SECOND));
  }

  private void refill() {
    long nowNanos = clock.nanos();
    double gained = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * tokensPerSecond;
    balanceTokens = Math.min(capacityTokens, balanceTokens + gained);
    refilledAtNanos = nowNanos;
  }
}
