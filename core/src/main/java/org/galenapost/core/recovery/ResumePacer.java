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
 * Bounds how many resumed generations a server prefills at once for this daemon, and lets them go
 * before new work. Safe for use by several threads.
 */
public final class ResumePacer {

  /** The usual bound of resumes in prefill, per server and daemon. */
  public static final int DEFAULT_PREFILLS_PER_SERVER = 4;

  private final int prefillsPerServer;
  private final Map<String, Integer> prefills = new HashMap<>();
  private final Deque<Waiter> waitingResumes = new ArrayDeque<>();
  private final Deque<Waiter> waitingStarts = new ArrayDeque<>();

  /**
   * Creates a pacer.
   *
   * @param prefillsPerServer the most resumes without a first token, per server
   */
  public ResumePacer(int prefillsPerServer) {
    if (prefillsPerServer < 1) {
      throw new IllegalArgumentException(
          "prefillsPerServer must be at least 1, but was " + prefillsPerServer);
    }
    this.prefillsPerServer = prefillsPerServer;
  }

  /** Returns the servers that take no further resume at the moment. */
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
   * Takes a place in a server's prefill.
   *
   * @return whether there was one
   */
  public synchronized boolean tryAcquire(String serverId) {
    int count = prefills.getOrDefault(serverId, 0);
    if (count >= prefillsPerServer) {
      return false;
    }
    prefills.put(serverId, count + 1);
    return true;
  }

  /** Gives a place back, after the first token or the end of the attempt. */
  public void release(String serverId) {
    List<Waiter> ready;
    synchronized (this) {
      prefills.computeIfPresent(serverId, (id, count) -> count > 1 ? count - 1 : null);
      ready = takeReady();
    }
    ready.forEach(Waiter::run);
  }

  /** Returns whether new work must wait, because resumes do. */
  public synchronized boolean hasWaitingResumes() {
    return !waitingResumes.isEmpty();
  }

  /** Returns how many resumes wait for a place. */
  public synchronized int waitingResumes() {
    return waitingResumes.size();
  }

  /**
   * Waits until a resume should look for a place again.
   *
   * @param retry called once, on the thread that gives a place back
   * @return what ends the waiting early
   */
  public Runnable awaitSlot(Runnable retry) {
    return await(waitingResumes, retry);
  }

  /**
   * Waits until no resume waits any more.
   *
   * @param start called once, on the thread that gives a place back
   * @return what ends the waiting early
   */
  public Runnable awaitNoWaitingResumes(Runnable start) {
    return await(waitingStarts, start);
  }

  private synchronized Runnable await(Deque<Waiter> queue, Runnable action) {
    Waiter waiter = new Waiter(action);
    queue.addLast(waiter);
    return () -> abandon(queue, waiter);
  }

  private void abandon(Deque<Waiter> queue, Waiter waiter) {
    List<Waiter> ready = List.of();
    synchronized (this) {
      queue.remove(waiter);
      if (waitingResumes.isEmpty()) {
        ready = drainStarts();
      }
    }
    ready.forEach(Waiter::run);
  }

  private List<Waiter> takeReady() {
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
