package org.galenapost.daemon.generation;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/** A clock and scheduler whose time passes only when a test says so. */
final class VirtualTime implements MonotonicClock, Scheduler {

  private record Task(long dueNanos, long sequence, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparing(Task::sequence));
  private long nowNanos;
  private long lastSequence;

  @Override
  public long nanos() {
    return nowNanos;
  }

  Instant instant() {
    return Instant.ofEpochSecond(1_700_000_000L).plusNanos(nowNanos);
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable action) {
    lastSequence++;
    Task task = new Task(nowNanos + delay.toNanos(), lastSequence, action);
    tasks.add(task);
    return () -> tasks.remove(task);
  }

  void advance(Duration duration) {
    long until = nowNanos + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos() <= until) {
      Task task = tasks.poll();
      nowNanos = Math.max(nowNanos, task.dueNanos());
      task.action().run();
    }
    nowNanos = until;
  }

  /** Lets time pass without running any task, as when the process is suspended. */
  void stall(Duration duration) {
    nowNanos += duration.toNanos();
  }
}
