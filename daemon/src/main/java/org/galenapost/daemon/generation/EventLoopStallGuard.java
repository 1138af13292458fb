package org.galenapost.daemon.generation;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.galenapost.core.loss.SelfStallGuard;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.daemon.service.Service;

/** Watches every event loop for stalls; any stalled loop may have held tokens back. */
public final class EventLoopStallGuard implements StallGuard, Service {

  private final EventExecutorGroup eventLoops;
  private final MonotonicClock clock;
  private final List<java.util.concurrent.Future<?>> ticks = new ArrayList<>();
  private volatile List<SelfStallGuard> guards = List.of();

  /**
   * Creates guards.
   *
   * @param eventLoops the loops to watch
   * @param clock elapsed time
   */
  public EventLoopStallGuard(EventExecutorGroup eventLoops, MonotonicClock clock) {
    this.eventLoops = eventLoops;
    this.clock = clock;
  }

  @Override
  public String name() {
    return "loop-guards";
  }

  @Override
  public void start() {
    List<SelfStallGuard> created = new ArrayList<>();
    for (EventExecutor loop : eventLoops) {
      SelfStallGuard guard =
          new SelfStallGuard(SelfStallGuard.TICK_INTERVAL, SelfStallGuard.TOLERANCE, clock.nanos());
      created.add(guard);
      long intervalMs = SelfStallGuard.TICK_INTERVAL.toMillis();
      ticks.add(
          loop.scheduleWithFixedDelay(
              () -> guard.tick(clock.nanos()), intervalMs, intervalMs, TimeUnit.MILLISECONDS));
    }
    guards = List.copyOf(created);
  }

  @Override
  public void stop() {
    guards = List.of();
    ticks.forEach(tick -> tick.cancel(false));
    ticks.clear();
  }

  @Override
  public boolean stalledWithin(long fromNanos, long untilNanos) {
    for (SelfStallGuard guard : guards) {
      if (guard.stalledWithin(fromNanos, untilNanos)) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many stalls were seen on all loops. */
  public long stallCount() {
    return guards.stream().mapToLong(SelfStallGuard::stallCount).sum();
  }
}
