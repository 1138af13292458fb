package org.galenapost.daemon.gateway.run;

/**
 * Bounds the bytes that all calls hold of answers that are not complete yet. A faulty server may
 * send bytes without end, on several connections at once. Not safe for use by several threads.
 */
public final class BufferBudget {

  /** One call may hold this much, well above the answers of the users' services. */
  static final long MAX_CALL_BYTES = 4 * 1024 * 1024;

  /** All calls together may hold this share of the heap; buffers that grow take up to twice it. */
  private static final double HEAP_SHARE = 0.125;

  private final long maxTotalBytes;
  private long totalBytes;

  BufferBudget(long maxTotalBytes) {
    this.maxTotalBytes = maxTotalBytes;
  }

  /** Creates a budget for a process whose heap grows to the given size. */
  public static BufferBudget ofHeap(long maxHeapBytes) {
    return new BufferBudget((long) (maxHeapBytes * HEAP_SHARE));
  }

  /**
   * Changes what one call holds.
   *
   * @param heldBytes the bytes that the call holds now
   * @param neededBytes the bytes that it needs instead
   * @return whether it may hold them; if not, nothing has changed
   */
  boolean tryResize(long heldBytes, long neededBytes) {
    long newTotal = totalBytes - heldBytes + neededBytes;
    boolean isGrowth = neededBytes > heldBytes;
    if (isGrowth && (neededBytes > MAX_CALL_BYTES || newTotal > maxTotalBytes)) {
      return false;
    }
    totalBytes = newTotal;
    return true;
  }

  /** Returns the bytes that all calls hold. */
  public long totalBytes() {
    return totalBytes;
  }
}
