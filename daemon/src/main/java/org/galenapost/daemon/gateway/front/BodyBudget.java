package org.galenapost.daemon.gateway.front;

/**
 * Bounds the bytes of all request bodies that a daemon reads or holds. A body is held until its
 * call ends, as the call may have to be sent again. Not safe for use by several threads.
 */
final class BodyBudget {

  /** Bodies take this share of the heap, which leaves the rest to answers and all else. */
  private static final double HEAP_SHARE = 0.375;

  private final long maxBytes;
  private long reservedBytes;

  BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates a budget for a process whose heap grows to the given size. */
  static BodyBudget ofHeap(long maxHeapBytes) {
    return new BodyBudget((long) (maxHeapBytes * HEAP_SHARE));
  }

  /** Reserves room for a body, or for a further part of it, and returns whether there was any. */
  boolean tryReserve(long bytes) {
    if (reservedBytes + bytes > maxBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  void release(long bytes) {
    reservedBytes -= bytes;
  }

  long maxBytes() {
    return maxBytes;
  }

  long reservedBytes() {
    return reservedBytes;
  }
}
