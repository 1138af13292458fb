package org.galenapost.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ReadBuffersTest {

  private static final int READ_BYTES = 64 * 1024;

  @Test
  void shrinksBufferToTheBytesThatAreLeft() {
    ByteBuf buffer = read(READ_BYTES, 3);

    ReadBuffers.shrink(buffer);

    assertThat(buffer.capacity()).isEqualTo(ReadBuffers.MIN_CAPACITY);
    assertThat(buffer.toString(StandardCharsets.US_ASCII)).isEqualTo("aaa");
    buffer.release();
  }

  @Test
  void keepsBufferThatIsHalfFull() {
    ByteBuf buffer = read(READ_BYTES, READ_BYTES / 2);

    ReadBuffers.shrink(buffer);

    assertThat(buffer.capacity()).isEqualTo(READ_BYTES);
    buffer.release();
  }

  @Test
  void keepsBufferOfWhichPartsAreInUse() {
    ByteBuf buffer = read(READ_BYTES, 3);
    ByteBuf part = buffer.retainedSlice(0, 3);

    ReadBuffers.shrink(buffer);

    assertThat(buffer.capacity()).isEqualTo(READ_BYTES);
    part.release();
    buffer.release();
  }

  @Test
  void leavesEmptyBuffersAlone() {
    ReadBuffers.shrink(Unpooled.EMPTY_BUFFER);

    assertThat(Unpooled.EMPTY_BUFFER.capacity()).isZero();
  }

  private static ByteBuf read(int capacity, int bytesLeft) {
    ByteBuf buffer = Unpooled.directBuffer(capacity);
    buffer.writeBytes("a".repeat(capacity).getBytes(StandardCharsets.US_ASCII));
    return buffer.skipBytes(capacity - bytesLeft);
  }
}
