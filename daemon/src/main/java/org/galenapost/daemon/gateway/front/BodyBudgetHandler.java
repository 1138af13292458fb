package org.galenapost.daemon.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Reserves room for the bodies of one connection's requests on the heap, until their responses are
 * written. A body without room is read and dropped, and its request passed on with a {@link
 * NoRoomForBodyException} as the result of decoding.
 */
final class BodyBudgetHandler extends ChannelDuplexHandler {

  /** The objects that hold one part of a body until all of it has come. */
  private static final int PART_BYTES = 160;

  /** An ordinary body comes in fewer parts, whose objects need not be counted. */
  private static final int UNCOUNTED_PARTS = 16;

  /** Further parts are not counted: only long ones are passed on by themselves. */
  private static final int MAX_PARTS = 1_024;

  /**
   * Shorter parts are copied together, since the next handler copies the whole body after each
   * 1,024 parts.
   */
  private static final int MAX_JOINED_PART_BYTES = 1_024;

  private static final int MAX_JOINED_BYTES = 16 * 1_024;

  private final BodyBudget budget;
  private final long maxBodyBytes;
  private final Deque<Long> reservations = new ArrayDeque<>();
  private HttpRequest current;
  private long currentBytes;
  private long declaredBytes;
  private int partCount;
  private Optional<ByteBuf> joinedParts = Optional.empty();
  private boolean isDropping;

  /**
   * Creates the handler of one connection.
   *
   * @param budget the room for all bodies
   * @param maxBodyBytes the largest body; the next handler refuses a larger one
   */
  BodyBudgetHandler(BodyBudget budget, long maxBodyBytes) {
    this.budget = budget;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
      isDropping = false;
      if (HttpUtil.getContentLength(request, 0L) <= maxBodyBytes) {
        begin(request);
      }
    }
    if (message instanceof HttpContent content && current != null) {
      reserve(content);
    }
    if (isDropping) {
      drop(context, message);
      return;
    }
    if (message instanceof HttpContent content && isJoined(content)) {
      join(context, content);
      return;
    }
    passOnJoined(context);
    Object kept = message;
    if (message instanceof HttpContent content && content.content().isDirect()) {
      kept = onHeap(content);
    }
    if (message instanceof LastHttpContent) {
      end();
    }
    context.fireChannelRead(kept);
  }

  /** Returns whether a part is short and others follow it. */
  private boolean isJoined(HttpContent content) {
    return current != null
        && partCount > UNCOUNTED_PARTS
        && content.content().readableBytes() < MAX_JOINED_PART_BYTES
        && content.decoderResult().isSuccess()
        && !(content instanceof LastHttpContent);
  }

  private void join(ChannelHandlerContext context, HttpContent part) {
    ByteBuf joined = joinedParts.orElseGet(() -> Unpooled.buffer(MAX_JOINED_PART_BYTES));
    joinedParts = Optional.of(joined.writeBytes(part.content()));
    part.release();
    if (joined.readableBytes() >= MAX_JOINED_BYTES) {
      passOnJoined(context);
    }
  }

  private void passOnJoined(ChannelHandlerContext context) {
    Optional<ByteBuf> parts = joinedParts;
    joinedParts = Optional.empty();
    parts.ifPresent(part -> context.fireChannelRead(new DefaultHttpContent(part)));
  }

  private void dropJoined() {
    joinedParts.ifPresent(ByteBuf::release);
    joinedParts = Optional.empty();
  }

  /** Direct memory is scarcer than the heap, and a body that arrives slowly would hold it. */
  private static HttpContent onHeap(HttpContent content) {
    try {
      HttpContent kept =
          content.replace(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(content.content())));
      kept.setDecoderResult(content.decoderResult());
      return kept;
    } finally {
      content.release();
    }
  }

  private void begin(HttpRequest request) {
    current = request;
    currentBytes = 0;
    partCount = 0;
    declaredBytes = HttpUtil.getContentLength(request, 0L);
    isDropping = !tryReserve(declaredBytes);
  }

  /**
   * Reserves what exceeds the declared length, as of a body that comes in chunks, and what a part
   * takes besides its bytes, since a body may come in parts of one byte.
   */
  private void reserve(HttpContent content) {
    long undeclaredBytes = content.content().readableBytes() - declaredBytes;
    declaredBytes = Math.max(0, -undeclaredBytes);
    partCount++;
    boolean isPartCounted = partCount > UNCOUNTED_PARTS && partCount <= MAX_PARTS;
    long bytes = Math.max(0, undeclaredBytes) + (isPartCounted ? PART_BYTES : 0);
    isDropping = isDropping || (bytes > 0 && !tryReserve(bytes));
  }

  private boolean tryReserve(long bytes) {
    boolean isReserved = budget.tryReserve(currentBytes, bytes);
    if (isReserved) {
      currentBytes += bytes;
    }
    return isReserved;
  }

  private void drop(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
    dropJoined();
    if (current == null) {
      return;
    }
    boolean isAwaitingContinue = message == current && HttpUtil.is100ContinueExpected(current);
    if (!(message instanceof LastHttpContent) && !isAwaitingContinue) {
      return;
    }
    FullHttpRequest refused =
        new DefaultFullHttpRequest(
            current.protocolVersion(), current.method(), current.uri(), Unpooled.EMPTY_BUFFER);
    refused.headers().set(current.headers());
    refused.setDecoderResult(DecoderResult.failure(new NoRoomForBodyException()));
    budget.release(currentBytes);
    currentBytes = 0;
    end();
    context.fireChannelRead(refused);
  }

  private void end() {
    if (current != null) {
      reservations.addLast(currentBytes);
      current = null;
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean isInterim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (message instanceof LastHttpContent && !isInterim && !reservations.isEmpty()) {
      budget.release(reservations.pollFirst());
    }
    context.write(message, promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    reservations.forEach(budget::release);
    reservations.clear();
    budget.release(current == null ? 0 : currentBytes);
    current = null;
    dropJoined();
    context.fireChannelInactive();
  }
}
