package org.galenapost.daemon.gateway.front;

/**
 * Bounds the bytes of all request bodies that a daemon reads or holds. A body is held until its
 * call ends, as the call may have to be sent again. Not safe for use by several threads.
 */
final class BodyBudget {

  /** Bodies take this share of the heap, which leaves the rest to answers and all else. */
  private static final double HEAP_SHARE = 0.375;

  private static final long MAX_SHORT_BODY_BYTES = 64 * 1024;

  /** What longer bodies leave of the room is for short ones. */
  private static final double LONG_BODIES_SHARE = 0.875;

  private final long maxBytes;
  private final long maxBytesWithLongBody;
  private long reservedBytes;

  BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
    this.maxBytesWithLongBody = (long) (maxBytes * LONG_BODIES_SHARE);
  }

  /** Creates a budget for a process whose heap grows to the given size. */
  static BodyBudget ofHeap(long maxHeapBytes) {
    return new BodyBudget((long) (maxHeapBytes * HEAP_SHARE));
  }

  /**
   * Reserves room for a body, or for a further part of it. A long body leaves a part of the room
   * free, so that short ones are taken while callers send long ones slowly.
   *
   * @param heldBytes what is reserved for the body already
   * @param bytes what it needs besides
   * @return whether there was room
   */
  boolean tryReserve(long heldBytes, long bytes) {
    boolean isShort = heldBytes + bytes <= MAX_SHORT_BODY_BYTES;
    if (reservedBytes + bytes > (isShort ? maxBytes : maxBytesWithLongBody)) {
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
