package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events. Buffers an incomplete event until the
 * rest of it arrives, and searches each byte of it only once. Blank lines between events belong to
 * the event that follows them.
 */
final class EventSplitter {

  static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte LINE_FEED = '\n';
  private static final byte COLON = ':';
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_ID_DIGITS = 18;

  /** A smaller buffer is kept after its events. */
  private static final int MAX_IDLE_BYTES = 4 * 1024;

  /** The buffer may take this many times the memory of the incomplete event. */
  private static final int MAX_CAPACITY_FACTOR = 4;

  private static final int MIN_BYTES = 256;

  private ByteBuf pending = Unpooled.buffer(MIN_BYTES);

  /** The bytes of the incomplete event that have been searched for the end of a line. */
  private int searchedBytes;

  /** The bytes of the incomplete event before its last line. */
  private int completeLineBytes;

  /** Whether a complete line of the incomplete event is not blank. */
  private boolean hasFields;

  /**
   * Appends received bytes; does not release the buffer.
   *
   * @return false if the buffered bytes would exceed the limit of one event; nothing is appended
   */
  boolean add(ByteBuf bytes) {
    if (pending.readableBytes() + bytes.readableBytes() > MAX_EVENT_BYTES) {
      return false;
    }
    shrink();
    pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    return true;
  }

  /** Gives back the memory of events that were taken; a stream may go on for long after them. */
  private void shrink() {
    int heldBytes = pending.readableBytes();
    if (pending.capacity() > Math.max(MAX_IDLE_BYTES, MAX_CAPACITY_FACTOR * heldBytes)) {
      ByteBuf smaller = Unpooled.buffer(Math.max(MIN_BYTES, heldBytes)).writeBytes(pending);
      pending.release();
      pending = smaller;
    } else {
      pending.discardSomeReadBytes();
    }
  }

  /** Returns the next complete event with its closing blank line, or null if there is none. */
  ByteBuf next() {
    int eventStart = pending.readerIndex();
    while (searchedBytes < pending.readableBytes()) {
      int searchStart = eventStart + searchedBytes;
      int lineEnd =
          pending.forEachByte(
              searchStart, pending.writerIndex() - searchStart, ByteProcessor.FIND_LF);
      if (lineEnd < 0) {
        searchedBytes = pending.readableBytes();
        return null;
      }
      boolean isBlank = isBlank(eventStart + completeLineBytes, lineEnd);
      completeLineBytes = lineEnd + 1 - eventStart;
      searchedBytes = completeLineBytes;
      if (isBlank && hasFields) {
        return take(completeLineBytes);
      }
      hasFields = hasFields || !isBlank;
    }
    return null;
  }

  private ByteBuf take(int length) {
    searchedBytes = 0;
    completeLineBytes = 0;
    hasFields = false;
    return pending.readBytes(length);
  }

  /** Returns the blank lines that follow the last event, or null if there are none. */
  ByteBuf trailingBlankLines() {
    return pending.isReadable() && !hasPartialEvent() ? take(pending.readableBytes()) : null;
  }

  private boolean isBlank(int start, int end) {
    boolean isEmpty = start == end;
    return isEmpty || (end - start == 1 && pending.getByte(start) == CARRIAGE_RETURN);
  }

  /** Returns whether a part of an event is buffered. */
  boolean hasPartialEvent() {
    return pending.forEachByte(value -> value == CARRIAGE_RETURN || value == LINE_FEED) >= 0;
  }

  /**
   * Returns whether each line of an event holds a field or a comment. A line without a colon is
   * allowed in general, but no server writes one; it shows framing of chunks in the content, as
   * after a stray digit in front of the size of a chunk.
   */
  static boolean hasOnlyFields(ByteBuf event) {
    int lineStart = event.readerIndex();
    int end = event.writerIndex();
    while (lineStart < end) {
      int found = event.forEachByte(lineStart, end - lineStart, ByteProcessor.FIND_LF);
      int lineEnd = found < 0 ? end : found;
      boolean hasColon = event.indexOf(lineStart, lineEnd, COLON) >= 0;
      boolean isBlank =
          lineEnd == lineStart
              || (lineEnd - lineStart == 1 && event.getByte(lineStart) == CARRIAGE_RETURN);
      if (!hasColon && !isBlank) {
        return false;
      }
      lineStart = lineEnd + 1;
    }
    return true;
  }

  /** Returns the memory of the buffer in bytes. */
  int capacityBytes() {
    return pending.capacity();
  }

  /** Returns the number of buffered bytes. */
  int pendingBytes() {
    return pending.readableBytes();
  }

  /** Returns the numeric id of an event, or empty if it has none. */
  static OptionalLong idOf(ByteBuf event) {
    int lineStart = event.readerIndex();
    int end = event.writerIndex();
    while (lineStart < end) {
      int found = event.forEachByte(lineStart, end - lineStart, ByteProcessor.FIND_LF);
      int lineEnd = found < 0 ? end : found;
      if (isIdLine(event, lineStart, lineEnd)) {
        return parse(event, lineStart + ID_FIELD.length, lineEnd);
      }
      lineStart = lineEnd + 1;
    }
    return OptionalLong.empty();
  }

  private static boolean isIdLine(ByteBuf event, int start, int end) {
    if (end - start < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (event.getByte(start + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private static OptionalLong parse(ByteBuf event, int start, int end) {
    String text = event.toString(start, end - start, StandardCharsets.US_ASCII).strip();
    boolean isNumber =
        !text.isEmpty()
            && text.length() <= MAX_ID_DIGITS
            && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return isNumber ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
  }
}
