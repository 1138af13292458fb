package org.galenapost.daemon.net;

import io.netty.buffer.ByteBuf;

/** Gives back memory of read buffers. */
public final class ReadBuffers {

  /** Smaller buffers are kept as they are. */
  static final int MIN_CAPACITY = 1_024;

  /** A buffer may take this many times the memory of the bytes that are left in it. */
  private static final int MAX_CAPACITY_FACTOR = 2;

  private ReadBuffers() {}

  /**
   * Shrinks a buffer to the bytes that are left in it if it takes much more. A decoder holds the
   * buffer of a read, which may have 64 KiB, while the last byte of it waits for the next one. A
   * buffer of which other parts are in use stays as it is.
   *
   * @param buffer the buffer of a decoder
   */
  public static void shrink(ByteBuf buffer) {
    if (buffer.refCnt() != 1 || buffer.isReadOnly()) {
      return;
    }
    int neededCapacity = Math.max(MIN_CAPACITY, MAX_CAPACITY_FACTOR * buffer.readableBytes());
    if (buffer.capacity() > neededCapacity) {
      buffer.discardReadBytes();
      buffer.capacity(Math.max(MIN_CAPACITY, buffer.readableBytes()));
    }
  }
}
