package org.galenapost.daemon.lifecycle;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Counts background work that must complete before the daemon stops although no caller waits for
 * it, such as recording the outcome of an action. This class is thread-safe.
 */
public final class PendingWork {

  private int count;
  private CompletableFuture<Void> empty = CompletableFuture.completedFuture(null);

  /**
   * Registers a unit of work.
   *
   * @return the action that marks the work as completed; only its first call has an effect
   */
  public Runnable begin() {
    synchronized (this) {
      if (count == 0) {
        empty = new CompletableFuture<>();
      }
      count++;
    }
    AtomicBoolean isCompleted = new AtomicBoolean();
    return () -> {
      if (isCompleted.compareAndSet(false, true)) {
        end();
      }
    };
  }

  /** Counts a stage as work until it completes, and returns a stage with the same outcome. */
  public <T> CompletionStage<T> track(CompletionStage<T> stage) {
    Runnable end = begin();
    return stage.whenComplete((result, error) -> end.run());
  }

  private void end() {
    CompletableFuture<Void> completed = null;
    synchronized (this) {
      count--;
      if (count == 0) {
        completed = empty;
      }
    }
    if (completed != null) {
      completed.complete(null);
    }
  }

  /** Returns the number of units of work that are not completed. */
  public synchronized int count() {
    return count;
  }

  /** Returns a stage that completes once no work is pending. */
  public synchronized CompletionStage<Void> whenEmpty() {
    return empty;
  }
}
