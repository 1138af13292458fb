package org.galenapost.core.platform;

import java.time.Duration;
import java.util.function.Consumer;
import org.galenapost.core.time.MonotonicClock;

/** Remembers when the platform's store last came back from an outage. Safe for several threads. */
public final class PlatformReach {

  private final MonotonicClock clock;
  private final Consumer<Boolean> onChange;
  private boolean isReached = true;
  private boolean hasReturned;
  private long returnedNanos;

  /**
   * Creates a reach without an outage.
   *
   * @param clock elapsed time
   * @param onChange told whether the store is reached, each time that changes
   */
  public PlatformReach(MonotonicClock clock, Consumer<Boolean> onChange) {
    this.clock = clock;
    this.onChange = onChange;
  }

  /** Records an answer. */
  public synchronized void answered() {
    if (!isReached) {
      isReached = true;
      hasReturned = true;
      returnedNanos = clock.nanos();
      onChange.accept(true);
    }
  }

  /** Records a call that the store refused or did not answer. */
  public synchronized void failed() {
    if (isReached) {
      isReached = false;
      onChange.accept(false);
    }
  }

  /** Returns whether the store is away, or came back less than a span of time ago. */
  public synchronized boolean isAwayOrBackFor(Duration lessThan) {
    return !isReached || (hasReturned && clock.since(returnedNanos).compareTo(lessThan) < 0);
  }
}
