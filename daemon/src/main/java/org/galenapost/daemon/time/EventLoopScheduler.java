package org.galenapost.daemon.time;

import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.galenapost.core.time.Scheduler;

/** Runs delayed tasks on the daemon's event loops. */
public final class EventLoopScheduler implements Scheduler {

  private final EventExecutorGroup eventLoops;

  /** Creates a scheduler that runs tasks on the given event loops. */
  public EventLoopScheduler(EventExecutorGroup eventLoops) {
    this.eventLoops = eventLoops;
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    ScheduledFuture<?> future = eventLoops.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }
}
