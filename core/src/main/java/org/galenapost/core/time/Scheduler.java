package org.galenapost.core.time;

import java.time.Duration;

/** Runs tasks after a delay; daemons implement it with an event loop, tests with virtual time. */
@FunctionalInterface
public interface Scheduler {

  /**
   * Runs a task once after a delay.
   *
   * @param delay the delay, not negative
   * @param task the task to run
   * @return a handle that cancels the task if it has not started
   */
  Cancellable schedule(Duration delay, Runnable task);

  /** Cancels a scheduled task. Has no effect once the task has started. */
  @FunctionalInterface
  interface Cancellable {
    /** Cancels the task if it has not started. */
    void cancel();
  }
}
