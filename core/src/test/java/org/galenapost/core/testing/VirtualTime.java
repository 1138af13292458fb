package org.galenapost.core.testing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/** A clock and a scheduler that advance only when the test calls them. */
public final class VirtualTime implements MonotonicClock, Scheduler, InstantSource {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparing(Task::order));
  private long nowNanos;
  private long nextOrder;

  @Override
  public long nanos() {
    return nowNanos;
  }

  @Override
  public Instant instant() {
    return START.plusNanos(nowNanos);
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    Task entry = new Task(nowNanos + delay.toNanos(), nextOrder++, task);
    tasks.add(entry);
    return () -> tasks.remove(entry);
  }

  /** Advances time and runs every task that becomes due. */
  public void advance(Duration duration) {
    long endNanos = nowNanos + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().atNanos() <= endNanos) {
      Task task = tasks.poll();
      nowNanos = Math.max(nowNanos, task.atNanos());
      task.action().run();
    }
    nowNanos = endNanos;
  }

  /** Returns the number of tasks that are not due yet. */
  public int pendingTasks() {
    return tasks.size();
  }

  /** Advances time without running tasks, as when the process is frozen. */
  public void freeze(Duration duration) {
    nowNanos += duration.toNanos();
  }

  private record Task(long atNanos, long order, Runnable action) {}
}
