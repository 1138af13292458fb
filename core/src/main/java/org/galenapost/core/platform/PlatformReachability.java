package org.galenapost.core.platform;

import java.time.Duration;
import java.util.function.Consumer;
import org.galenapost.core.time.MonotonicClock;

/** Remembers when the platform's store last came back from an outage. Safe for several threads. */
public final class PlatformReachability {

  private final MonotonicClock clock;
  private final Consumer<Boolean> onChange;
  private boolean isReachable = true;
  private boolean hasRecovered;
  private long recoveredNanos;

  /**
   * Creates a reach without an outage.
   *
   * @param clock elapsed time
   * @param onChange told whether the store is reached, each time that changes
   */
  public PlatformReachability(MonotonicClock clock, Consumer<Boolean> onChange) {
    this.clock = clock;
    this.onChange = onChange;
  }

  /** Records an answer. */
  public synchronized void recordAnswer() {
    if (!isReachable) {
      isReachable = true;
      hasRecovered = true;
      recoveredNanos = clock.nanos();
      onChange.accept(true);
    }
  }

  /** Records a call that the store refused or did not answer. */
  public synchronized void recordFailure() {
    if (isReachable) {
      isReachable = false;
      onChange.accept(false);
    }
  }

  /** Returns whether the store is away, or came back less than a span of time ago. */
  public synchronized boolean isUnreachableOrRecoveredWithin(Duration lessThan) {
    return !isReachable || (hasRecovered && clock.since(recoveredNanos).compareTo(lessThan) < 0);
  }
}
