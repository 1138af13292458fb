package org.galenapost.core.recovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Limits the resumed generations in prefill on each server for this daemon and gives them priority
 * over new work. Thread-safe.
 */
public final class ResumePacer {

  /** Default limit of resumes in prefill, per server and daemon. */
  public static final int DEFAULT_PREFILLS_PER_SERVER = 4;

  private final int prefillsPerServer;
  private final Map<String, Integer> prefills = new HashMap<>();
  private final Deque<Waiter> waitingResumes = new ArrayDeque<>();
  private final Deque<Waiter> waitingStarts = new ArrayDeque<>();

  /**
   * Creates a pacer.
   *
   * @param prefillsPerServer the maximum number of resumes without a first token, per server
   */
  public ResumePacer(int prefillsPerServer) {
    if (prefillsPerServer < 1) {
      throw new IllegalArgumentException(
          "prefillsPerServer must be at least 1, but was " + prefillsPerServer);
    }
    this.prefillsPerServer = prefillsPerServer;
  }

  /** Returns the ids of the servers that have no free resume slot. */
  public synchronized Set<String> saturatedServerIds() {
    Set<String> saturated = new HashSet<>();
    prefills.forEach(
        (serverId, count) -> {
          if (count >= prefillsPerServer) {
            saturated.add(serverId);
          }
        });
    return saturated;
  }

  /**
   * Acquires a resume slot on a server.
   *
   * @return whether a slot was free
   */
  public synchronized boolean tryAcquire(String serverId) {
    int count = prefills.getOrDefault(serverId, 0);
    if (count >= prefillsPerServer) {
      return false;
    }
    prefills.put(serverId, count + 1);
    return true;
  }

  /** Releases a resume slot after the first token or the end of the attempt. */
  public void release(String serverId) {
    List<Waiter> ready;
    synchronized (this) {
      prefills.computeIfPresent(serverId, (id, count) -> count > 1 ? count - 1 : null);
      ready = pollReady();
    }
    ready.forEach(Waiter::run);
  }

  /** Returns whether resumes are waiting for a slot, so that new work must wait too. */
  public synchronized boolean hasWaitingResumes() {
    return !waitingResumes.isEmpty();
  }

  /** Returns the number of resumes waiting for a slot. */
  public synchronized int waitingResumes() {
    return waitingResumes.size();
  }

  /**
   * Queues a resume until a slot is released.
   *
   * @param retry called once, on the thread that releases the slot
   * @return a task that cancels the wait
   */
  public Runnable awaitSlot(Runnable retry) {
    return await(waitingResumes, retry);
  }

  /**
   * Queues new work until no resume is waiting for a slot.
   *
   * @param start called once, on the thread that releases a slot or cancels the last waiting resume
   * @return a task that cancels the wait
   */
  public Runnable awaitNoWaitingResumes(Runnable start) {
    return await(waitingStarts, start);
  }

  private synchronized Runnable await(Deque<Waiter> queue, Runnable action) {
    Waiter waiter = new Waiter(action);
    queue.addLast(waiter);
    return () -> cancel(queue, waiter);
  }

  private void cancel(Deque<Waiter> queue, Waiter waiter) {
    List<Waiter> ready = List.of();
    synchronized (this) {
      queue.remove(waiter);
      if (waitingResumes.isEmpty()) {
        ready = drainStarts();
      }
    }
    ready.forEach(Waiter::run);
  }

  private List<Waiter> pollReady() {
    Waiter resume = waitingResumes.pollFirst();
    if (resume == null) {
      return drainStarts();
    }
    List<Waiter> ready = new ArrayList<>();
    ready.add(resume);
    if (waitingResumes.isEmpty()) {
      ready.addAll(drainStarts());
    }
    return ready;
  }

  private List<Waiter> drainStarts() {
    List<Waiter> ready = new ArrayList<>(waitingStarts);
    waitingStarts.clear();
    return ready;
  }

  private static final class Waiter {

    private final Runnable action;

    Waiter(Runnable action) {
      this.action = action;
    }

    void run() {
      action.run();
    }
  }
}
