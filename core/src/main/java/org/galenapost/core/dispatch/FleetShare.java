package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.galenapost.core.time.MonotonicClock;

/**
 * The part that this daemon may use of a number that all daemons share in each window. An earlier
 * process of this daemon may have used the part of the current window, and the other daemons do not
 * know a new one at once, so a process uses its part only some time after its start. Not safe for
 * use by several threads.
 */
public final class FleetShare {

  /** Bounds how long other daemons may not know of one that has started. */
  private static final Duration JOIN_TIME = Duration.ofSeconds(2);

  private final MonotonicClock clock;
  private final Supplier<OptionalInt> daemonCount;
  private long usableFromNanos;

  /**
   * Creates the share of a process that starts now.
   *
   * @param clock measures the time since the start
   * @param window the window in which the shared number may be used once
   * @param daemonCount returns the number of daemons that may use a part of it, this one included;
   *     empty while it is not known
   */
  public FleetShare(MonotonicClock clock, Duration window, Supplier<OptionalInt> daemonCount) {
    this.clock = clock;
    this.daemonCount = daemonCount;
    this.usableFromNanos = clock.nanos() + window.plus(JOIN_TIME).toNanos();
  }

  /** Allows the use of the part at once, as no daemon of the fleet has run before. */
  public void confirmFirstStart() {
    usableFromNanos = clock.nanos();
  }

  /** Returns the part that this daemon may use now, from 0 to 1. */
  public double part() {
    boolean isUsable = clock.nanos() - usableFromNanos >= 0;
    OptionalInt daemons = daemonCount.get();
    return isUsable && daemons.isPresent() ? 1.0 / Math.max(1, daemons.getAsInt()) : 0;
  }
}
