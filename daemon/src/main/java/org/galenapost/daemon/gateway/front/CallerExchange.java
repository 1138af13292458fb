package org.galenapost.daemon.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.galenapost.core.json.Json;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.call.HandoverTickets;
import org.galenapost.daemon.gateway.call.HopByHopHeaders;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.run.GatewayResponseWriter;
import org.galenapost.daemon.http.ProblemDocument;

/** Writes the response to one request, and ignores all writes after its end. */
final class CallerExchange implements GatewayResponseWriter {

  private final Channel channel;
  private final UnreadBytes unread;
  private final String callId;
  private final boolean isKeepAlive;
  private final boolean isChunkedAllowed;
  private final RefusalHeaders refusalHeaders;
  private final BooleanSupplier isDraining;
  private final Consumer<Boolean> onEnd;
  private boolean mustClose;
  private boolean isEnded;

  /**
   * Creates an exchange without a response yet.
   *
   * @param channel the caller's connection
   * @param unread counts what the caller does not read
   * @param callId the id shown in problem documents
   * @param isKeepAlive whether the caller keeps the connection open
   * @param isChunkedAllowed whether the caller supports chunked encoding
   * @param refusalHeaders adds headers to refusals
   * @param isDraining whether the daemon drains, so that connections close after their response
   * @param onEnd receives, once the response is written, whether the connection stays open
   */
  CallerExchange(
      Channel channel,
      UnreadBytes unread,
      String callId,
      boolean isKeepAlive,
      boolean isChunkedAllowed,
      RefusalHeaders refusalHeaders,
      BooleanSupplier isDraining,
      Consumer<Boolean> onEnd) {
    this.channel = channel;
    this.unread = unread;
    this.callId = callId;
    this.isKeepAlive = isKeepAlive;
    this.isChunkedAllowed = isChunkedAllowed;
    this.refusalHeaders = refusalHeaders;
    this.isDraining = isDraining;
    this.onEnd = onEnd;
  }

  @Override
  public void writeResponse(ResponseHead head, ByteBuf body) {
    HttpHeaders headers = HopByHopHeaders.copyWithout(head.headers());
    HandoverTickets.removeNotRunMark(headers);
    writeFullResponse(head.status(), headers, body);
  }

  @Override
  public void writeRefusal(Refusal refusal, boolean wasSent) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.CONTENT_TYPE);
    refusal
        .retryAfter()
        .ifPresent(delay -> headers.set(HttpHeaderNames.RETRY_AFTER, toSeconds(delay)));
    refusalHeaders.add(refusal, wasSent, headers);
    String document = Json.write(ProblemDocument.of(refusal, callId));
    response.release();
    writeFullResponse(
        refusal.reason().httpStatus(),
        headers,
        Unpooled.copiedBuffer(document, StandardCharsets.UTF_8));
  }

  /** Returns the id of the call, or {@code -} if the request has none. */
  String callId() {
    return callId;
  }

  /** Closes the connection after this response. */
  void closeAfterResponse() {
    mustClose = true;
  }

  private static String toSeconds(Duration delay) {
    return BigDecimal.valueOf(delay.toMillis(), 3).stripTrailingZeros().toPlainString();
  }

  private void writeFullResponse(int status, HttpHeaders headers, ByteBuf body) {
    if (isEnded) {
      body.release();
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    response.headers().set(headers);
    HttpUtil.setContentLength(response, body.readableBytes());
    boolean staysOpen = setConnectionHeader(response);
    writeLast(response, staysOpen);
  }

  @Override
  public void startStream(ResponseHead head) {
    if (isEnded) {
      return;
    }
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
    response.headers().set(HopByHopHeaders.copyWithout(head.headers()));
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    if (isChunkedAllowed) {
      HttpUtil.setTransferEncodingChunked(response, true);
    } else {
      mustClose = true;
    }
    setConnectionHeader(response);
    channel.write(response);
  }

  private boolean setConnectionHeader(HttpResponse response) {
    boolean staysOpen = isKeepAlive && !mustClose && !isDraining.getAsBoolean();
    if (!staysOpen) {
      mustClose = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return staysOpen;
  }

  @Override
  public void writeEvents(ByteBuf events) {
    if (isEnded) {
      events.release();
      return;
    }
    channel.write(new DefaultHttpContent(events));
  }

  @Override
  public void flush() {
    channel.flush();
    if (!channel.isWritable()) {
      unread.update();
    }
  }

  @Override
  public void completeStream() {
    writeLast(LastHttpContent.EMPTY_LAST_CONTENT, isKeepAlive && !mustClose);
  }

  private void writeLast(Object lastMessage, boolean staysOpen) {
    if (isEnded) {
      return;
    }
    isEnded = true;
    ChannelFuture written = channel.writeAndFlush(lastMessage);
    if (!written.isDone()) {
      unread.update();
    }
    written
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
        .addListener(done -> onWritten(staysOpen));
  }

  private void onWritten(boolean staysOpen) {
    unread.release();
    onEnd.accept(staysOpen);
  }

  @Override
  public void abort() {
    isEnded = true;
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }
}
