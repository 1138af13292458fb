package org.galenapost.daemon.gateway.front;

/**
 * Bounds the bytes of all request bodies that a daemon reads or holds. A body is held until its
 * call ends, as the call may have to be sent again. Not safe for use by several threads.
 */
final class BodyBudget {

  /** Fits into the heap of a daemon beside the incomplete answers that it may hold. */
  static final long MAX_TOTAL_BYTES = 20 * 1024 * 1024;

  private final long maxBytes;
  private long reservedBytes;

  BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
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

  long reservedBytes() {
    return reservedBytes;
  }
}
