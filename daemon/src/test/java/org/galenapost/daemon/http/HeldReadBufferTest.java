package org.galenapost.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.galenapost.daemon.net.HeadAccount;
import org.galenapost.daemon.net.HeadBudget;
import org.galenapost.daemon.net.StrictClientCodec;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway whose direct memory is full of the buffers of reads, each held for one
 * byte of the size of the next chunk.
 */
class HeldReadBufferTest {

  private static final int READ_BYTES = 64 * 1024;
  private static final String CHUNK_START = "fff0\r\n";

  private final BodyReader body = new BodyReader();

  @Test
  void callerThatPausesInTheSizeOfAChunkHoldsNoReadBuffer() {
    HeadAccount heads = new HeadAccount(HeadBudget.unbounded(), () -> {});
    EmbeddedChannel channel = channel(new StrictServerCodec(new HttpDecoderConfig(), heads));
    channel.writeInbound(ascii("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));

    assertHoldsLittleOfRead(channel);
  }

  @Test
  void serverThatPausesInTheSizeOfAChunkHoldsNoReadBuffer() {
    EmbeddedChannel channel = channel(new StrictClientCodec(new HttpDecoderConfig()));
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    channel.writeInbound(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));

    assertHoldsLittleOfRead(channel);
  }

  private EmbeddedChannel channel(ChannelHandler codec) {
    return new EmbeddedChannel(codec, body);
  }

  private void assertHoldsLittleOfRead(EmbeddedChannel channel) {
    int chunkBytes = 0xfff0;
    ByteBuf read = Unpooled.directBuffer(READ_BYTES + CHUNK_START.length());
    read.writeBytes(ascii(CHUNK_START)).writeZero(chunkBytes).writeBytes(ascii("\r\n1"));

    channel.writeInbound(read);

    assertThat(body.bytes).isEqualTo(chunkBytes);
    assertThat(read.capacity()).as("bytes held for one digit").isLessThan(READ_BYTES / 32);
    channel.writeInbound(ascii("0\r\n0123456789abcdef\r\n0\r\n\r\n"));
    assertThat(body.bytes).isEqualTo(chunkBytes + 16);
  }

  private static ByteBuf ascii(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  /** Counts the bytes of a body and releases them. */
  private static final class BodyReader extends SimpleChannelInboundHandler<HttpObject> {

    private int bytes;

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (message instanceof HttpContent content) {
        bytes += content.content().readableBytes();
      }
    }
  }
}
