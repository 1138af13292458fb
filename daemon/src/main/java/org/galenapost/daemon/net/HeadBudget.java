package org.galenapost.daemon.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory of all heads of messages that a process reads or holds. When room is short, the
 * request that has been incomplete for longest gives up its room first. Not safe for use by several
 * threads.
 */
public final class HeadBudget {

  /**
   * Heads take this share of the heap, beside three eighths for bodies and a quarter for answers.
   */
  private static final double HEAP_SHARE = 0.1875;

  /** Admits one head of 16 KiB with lines of four bytes, which costs 1.1 MB, on any heap. */
  private static final long MIN_BYTES = 2 * 1024 * 1024;

  /** Ordinary heads cost less. Callers of the users' services send some twenty lines. */
  private static final long MAX_ORDINARY_BYTES = 32 * 1024;

  /** What larger heads leave of the room is for ordinary ones. */
  private static final double LARGE_HEADS_SHARE = 0.75;

  private final long maxBytes;
  private final long maxBytesWithLargeHead;
  private final Set<HeadAccount> incomplete = new LinkedHashSet<>();
  private final Runnable onRefusal;
  private long heldBytes;
  private long refusedCount;
  private long evictedCount;

  /**
   * Creates a budget.
   *
   * @param maxBytes the memory that all heads may take
   * @param onRefusal called for each head that is refused or dropped
   */
  public HeadBudget(long maxBytes, Runnable onRefusal) {
    this.maxBytes = maxBytes;
    this.maxBytesWithLargeHead = (long) (maxBytes * LARGE_HEADS_SHARE);
    this.onRefusal = onRefusal;
  }

  /** Creates a budget that refuses nothing. */
  public static HeadBudget unbounded() {
    return new HeadBudget(Long.MAX_VALUE, () -> {});
  }

  /** Creates a budget for a process whose heap grows to the given size. */
  public static HeadBudget ofHeap(long maxHeapBytes, Runnable onRefusal) {
    return new HeadBudget(Math.max(MIN_BYTES, (long) (maxHeapBytes * HEAP_SHARE)), onRefusal);
  }

  /**
   * Reserves memory for an incomplete request, at the expense of requests that have been incomplete
   * for longer if necessary. A large head leaves a part of the room free, so that ordinary requests
   * are served while many large ones wait for their calls to end.
   *
   * @return whether there is room; false if the request itself has been incomplete for longest
   */
  boolean tryReserve(HeadAccount account, long bytes) {
    boolean isOrdinary = account.currentBytes() + bytes <= MAX_ORDINARY_BYTES;
    long limitBytes = isOrdinary ? maxBytes : maxBytesWithLargeHead;
    while (heldBytes + bytes > limitBytes) {
      if (incomplete.isEmpty()) {
        return recordRefusal();
      }
      HeadAccount oldest = incomplete.iterator().next();
      if (oldest == account) {
        return recordRefusal();
      }
      evictedCount++;
      onRefusal.run();
      oldest.evict();
    }
    heldBytes += bytes;
    return true;
  }

  private boolean recordRefusal() {
    refusedCount++;
    onRefusal.run();
    return false;
  }

  void release(long bytes) {
    heldBytes -= bytes;
  }

  void addIncomplete(HeadAccount account) {
    incomplete.add(account);
  }

  void removeIncomplete(HeadAccount account) {
    incomplete.remove(account);
  }

  /** Returns the memory that heads take, by estimate, in bytes. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the memory that heads may take, in bytes. */
  public long maxBytes() {
    return maxBytes;
  }

  /** Returns how many heads were refused because no other gave room. */
  public long refusedCount() {
    return refusedCount;
  }

  /** Returns how many incomplete requests were dropped in favour of later ones. */
  public long evictedCount() {
    return evictedCount;
  }
}
