package org.galenapost.daemon.gateway.run;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the bytes that all calls hold of answers: of incomplete ones, since a faulty server may
 * send bytes without end on several connections at once, and of those that their callers have not
 * read. When room is short, the answer that has been unread for longest is dropped first. Not safe
 * for use by several threads.
 */
public final class BufferBudget {

  /** One call may hold this much, well above the answers of the users' services. */
  static final long MAX_CALL_BYTES = 4 * 1024 * 1024;

  /** All calls together may hold this share of the heap; buffers that grow take up to twice it. */
  private static final double HEAP_SHARE = 0.125;

  private final long maxTotalBytes;
  private final Map<UnreadAnswer, Long> unreadBytes = new LinkedHashMap<>();
  private long totalBytes;
  private long droppedCount;

  BufferBudget(long maxTotalBytes) {
    this.maxTotalBytes = maxTotalBytes;
  }

  /** Creates a budget for a process whose heap grows to the given size. */
  public static BufferBudget ofHeap(long maxHeapBytes) {
    return new BufferBudget((long) (maxHeapBytes * HEAP_SHARE));
  }

  /** What a caller has not read of an answer. */
  public interface UnreadAnswer {
    /** Closes the connection of the caller, which frees the memory of the answer. */
    void drop();
  }

  /**
   * Changes what one call holds.
   *
   * @param heldBytes the bytes that the call holds now
   * @param neededBytes the bytes that it needs instead
   * @return whether it may hold them; if not, nothing has changed
   */
  boolean tryResize(long heldBytes, long neededBytes) {
    long grownBytes = neededBytes - heldBytes;
    if (grownBytes > 0 && (neededBytes > MAX_CALL_BYTES || !makeRoom(grownBytes))) {
      return false;
    }
    totalBytes += grownBytes;
    return true;
  }

  /** Sets what a caller has not read of an answer; the answer itself may be dropped for it. */
  public void holdUnread(UnreadAnswer answer, long bytes) {
    long heldBytes = unreadBytes.getOrDefault(answer, 0L);
    unreadBytes.put(answer, bytes);
    totalBytes += bytes - heldBytes;
    makeRoom(0);
  }

  /** Releases what is held of an answer that is read or dropped. */
  public void releaseUnread(UnreadAnswer answer) {
    Long bytes = unreadBytes.remove(answer);
    totalBytes -= bytes == null ? 0 : bytes;
  }

  /** Drops unread answers until there is room, and returns whether there is. */
  private boolean makeRoom(long bytes) {
    while (totalBytes + bytes > maxTotalBytes && !unreadBytes.isEmpty()) {
      UnreadAnswer longestUnread = unreadBytes.keySet().iterator().next();
      releaseUnread(longestUnread);
      droppedCount++;
      longestUnread.drop();
    }
    return totalBytes + bytes <= maxTotalBytes;
  }

  /** Returns how many answers were dropped because their callers did not read them. */
  public long droppedCount() {
    return droppedCount;
  }

  /** Returns the bytes that all calls hold. */
  public long totalBytes() {
    return totalBytes;
  }
}
