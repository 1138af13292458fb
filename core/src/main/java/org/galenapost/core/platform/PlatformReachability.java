package org.galenapost.core.platform;

import java.time.Duration;
import java.util.function.Consumer;
import org.galenapost.core.time.MonotonicClock;

/**
 * Tracks whether the platform's object store is reachable and when it last recovered. Thread-safe.
 */
public final class PlatformReachability {

  private final MonotonicClock clock;
  private final Consumer<Boolean> onChange;
  private boolean isReachable = true;
  private boolean hasRecovered;
  private long recoveredNanos;

  /**
   * Creates a tracker that considers the store reachable.
   *
   * @param clock measures the time since the last recovery
   * @param onChange called with whether the store is reachable, each time that changes
   */
  public PlatformReachability(MonotonicClock clock, Consumer<Boolean> onChange) {
    this.clock = clock;
    this.onChange = onChange;
  }

  /** Records that the store answered. */
  public synchronized void recordAnswer() {
    if (!isReachable) {
      isReachable = true;
      hasRecovered = true;
      recoveredNanos = clock.nanos();
      onChange.accept(true);
    }
  }

  /** Records that the store rejected a call or did not answer. */
  public synchronized void recordFailure() {
    if (isReachable) {
      isReachable = false;
      onChange.accept(false);
    }
  }

  /** Returns whether the store is unreachable, or recovered within the given time. */
  public synchronized boolean isUnreachableOrRecoveredWithin(Duration maxTimeSinceRecovery) {
    return !isReachable
        || (hasRecovered && clock.since(recoveredNanos).compareTo(maxTimeSinceRecovery) < 0);
  }
}
