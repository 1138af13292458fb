package org.galenapost.daemon.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Bodies of requests that come faster than their calls end. */
class BodyBudgetHandlerTest {

  private static final int MAX_BYTES = 1_000;

  private final BodyBudget budget = new BodyBudget(MAX_BYTES);
  private final EmbeddedChannel first =
      new EmbeddedChannel(new BodyBudgetHandler(budget, MAX_BYTES));
  private final EmbeddedChannel second =
      new EmbeddedChannel(new BodyBudgetHandler(budget, MAX_BYTES));

  @AfterEach
  void close() {
    first.finishAndReleaseAll();
    second.finishAndReleaseAll();
    assertThat(budget.reservedBytes()).isZero();
  }

  @Test
  void dropsBodyForWhichOthersLeaveNoRoom() {
    send(first, 800);
    send(second, 300);

    assertThat(first.inboundMessages()).hasSize(2);
    assertThat(second.inboundMessages()).hasSize(1);
    FullHttpRequest refused = second.readInbound();
    assertThat(refused.decoderResult().cause()).isInstanceOf(NoRoomForBodyException.class);
    assertThat(refused.content().isReadable()).isFalse();
  }

  /** Guards against long bodies that are declared and never sent, and keep out all others. */
  @Test
  void longBodiesLeaveRoomForShortOnes() {
    BodyBudget ofHeap = BodyBudget.ofHeap(8_000_000);
    EmbeddedChannel[] channels = new EmbeddedChannel[12];
    for (int i = 0; i < channels.length; i++) {
      channels[i] = new EmbeddedChannel(new BodyBudgetHandler(ofHeap, 1_000_000));
      channels[i].writeInbound(head(i < 10 ? 500_000 : 1_000));
    }

    assertThat(ofHeap.reservedBytes()).isGreaterThan(5 * 500_000);
    for (EmbeddedChannel channel : List.of(channels[10], channels[11])) {
      HttpRequest kept = channel.readInbound();
      assertThat(kept.decoderResult().isSuccess()).isTrue();
    }
    List.of(channels).forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  @Test
  void keepsBodyOnceAnEarlierCallHasEnded() {
    send(first, 800);
    first.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));

    send(second, 300);

    assertThat(second.inboundMessages()).hasSize(2);
  }

  @Test
  void keepsBodyOnceAnEarlierCallerHasLeft() {
    send(first, 800);
    first.close();

    send(second, 1_000);

    assertThat(second.inboundMessages()).hasSize(2);
  }

  @Test
  void dropsRestOfChunkedBodyThatOutgrowsTheRoom() {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
    request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    first.writeInbound(request);
    for (int i = 0; i < 3; i++) {
      first.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[400])));
    }
    first.writeInbound(new DefaultLastHttpContent());

    List<Object> messages = List.copyOf(first.inboundMessages());
    FullHttpRequest refused = (FullHttpRequest) messages.get(messages.size() - 1);
    assertThat(refused.decoderResult().cause()).isInstanceOf(NoRoomForBodyException.class);
    assertThat(budget.reservedBytes()).isZero();
  }

  /**
   * Guards against a gateway that hangs while a body comes in chunks of one byte, since the next
   * handler copies the whole body after each 1,024 parts.
   */
  @Test
  void joinsShortPartsOfBody() {
    BodyBudget room = new BodyBudget(1_000_000);
    EmbeddedChannel channel = new EmbeddedChannel(new BodyBudgetHandler(room, 500_000));
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
    request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    channel.writeInbound(request);
    ByteBuf sent = Unpooled.buffer();
    for (int i = 0; i < 100_000; i++) {
      byte[] part = new byte[i == 50_000 ? 2_000 : 1 + i % 3];
      Arrays.fill(part, (byte) i);
      sent.writeBytes(part);
      channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
    }
    channel.writeInbound(new DefaultLastHttpContent());

    assertThat(channel.inboundMessages()).hasSizeLessThan(50);
    HttpRequest head = channel.readInbound();
    assertThat(head).isSameAs(request);
    ByteBuf received = Unpooled.buffer();
    for (HttpContent part = channel.readInbound(); part != null; part = channel.readInbound()) {
      received.writeBytes(part.content());
      part.release();
    }
    assertThat(received).isEqualTo(sent);
  }

  /** Guards against chunks of one byte, each of which takes objects of a hundred bytes. */
  @Test
  void countsPartsOfBodyBesidesTheirBytes() {
    BodyBudget room = new BodyBudget(100_000);
    EmbeddedChannel channel = new EmbeddedChannel(new BodyBudgetHandler(room, 50_000));
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
    request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    channel.writeInbound(request);
    for (int i = 0; i < 500; i++) {
      channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[1])));
    }

    assertThat(room.reservedBytes()).isGreaterThan(50_000);
    channel.finishAndReleaseAll();
    assertThat(room.reservedBytes()).isZero();
  }

  @Test
  void refusesAtOnceRequestThatWaitsForLeaveToSendItsBody() {
    send(first, 800);
    HttpRequest request = head(300);
    request.headers().set(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE);

    second.writeInbound(request);

    FullHttpRequest refused = second.readInbound();
    assertThat(refused.decoderResult().cause()).isInstanceOf(NoRoomForBodyException.class);
  }

  @Test
  void keepsPartsOfBodiesOnTheHeap() {
    first.writeInbound(head(400));
    first.writeInbound(new DefaultLastHttpContent(Unpooled.directBuffer().writeZero(400)));

    first.readInbound();
    HttpContent kept = first.readInbound();
    assertThat(kept.content().isDirect()).isFalse();
    assertThat(kept.content().readableBytes()).isEqualTo(400);
  }

  /** A malformed chunk must not look like a sound one, as requests may hide behind it. */
  @Test
  void keepsFailureToDecodePartOfBody() {
    HttpContent malformed = new DefaultLastHttpContent(Unpooled.directBuffer().writeZero(4));
    malformed.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("chunk size")));
    first.writeInbound(head(4));
    first.writeInbound(malformed);

    first.readInbound();
    HttpContent kept = first.readInbound();
    assertThat(kept.decoderResult().isFailure()).isTrue();
  }

  private static HttpRequest head(int bodyBytes) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bodyBytes));
    return request;
  }

  private static void send(EmbeddedChannel channel, int bodyBytes) {
    channel.writeInbound(head(bodyBytes));
    channel.writeInbound(new DefaultLastHttpContent(Unpooled.wrappedBuffer(new byte[bodyBytes])));
  }
}
