package org.galenapost.daemon.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.galenapost.core.json.Json;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.http.ProblemDocument;

/**
 * The way back to the caller. An answer begins and ends once; what comes too late is dropped. Any
 * thread may call it.
 */
public final class CallerResponse {

  /** The header that carries the id of the request. */
  public static final String REQUEST_ID_HEADER = "Galenapost-Request-Id";

  private static final long MS_PER_SECOND = 1_000;

  private final Channel channel;
  private final String requestId;
  private final boolean isChunkedAllowed;
  private final boolean isKeepAlive;
  private final AtomicBoolean begun = new AtomicBoolean();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicReference<Refusal> refusal = new AtomicReference<>();
  private final List<Runnable> endListeners = new ArrayList<>();
  private volatile int httpStatus;

  CallerResponse(Channel channel, String requestId, boolean isChunkedAllowed, boolean isKeepAlive) {
    this.channel = channel;
    this.requestId = requestId;
    this.isChunkedAllowed = isChunkedAllowed;
    this.isKeepAlive = isKeepAlive;
  }

  /** Answers with a refusal, unless an answer has begun. */
  public void refuse(Refusal reason) {
    if (!begun.compareAndSet(false, true)) {
      return;
    }
    refusal.compareAndSet(null, reason);
    int status = reason.reason().httpStatus();
    String document = Json.write(ProblemDocument.of(reason, requestId));
    writeFullResponse(
        newFullResponse(status, ProblemDocument.CONTENT_TYPE, toBytes(document)),
        reason.retryAfter());
  }

  /** Answers with one JSON document, unless an answer has begun. */
  public void answerJson(Object document) {
    if (begun.compareAndSet(false, true)) {
      byte[] body = toBytes(Json.write(document));
      int status = HttpResponseStatus.OK.code();
      writeFullResponse(newFullResponse(status, "application/json", body), Optional.empty());
    }
  }

  /** Passes on a backend server's answer, unless an answer has begun. */
  public void answer(ServiceAnswer answer) {
    if (begun.compareAndSet(false, true)) {
      DefaultFullHttpResponse response =
          newFullResponse(answer.httpStatus(), answer.contentType(), answer.body());
      response.headers().set(ServiceAnswer.VERDICT_HEADER, answer.verdict().wireName());
      writeFullResponse(response, Optional.empty());
    }
  }

  /**
   * Begins an answer whose length is not known.
   *
   * @return whether it began, that is, no other answer had
   */
  public boolean beginStream(String contentType) {
    if (!begun.compareAndSet(false, true)) {
      return false;
    }
    httpStatus = HttpResponseStatus.OK.code();
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
    HttpUtil.setTransferEncodingChunked(head, isChunkedAllowed);
    setCommonHeaders(head);
    runOnEventLoop(() -> channel.writeAndFlush(head));
    return true;
  }

  /**
   * Sends a part of an answer that has begun.
   *
   * @param part the bytes; ownership passes to this response
   * @param whenWritten called once the system has taken the bytes or the connection has failed
   */
  public void sendPart(ByteBuf part, Runnable whenWritten) {
    runOnEventLoop(() -> writePart(part, whenWritten));
  }

  private void writePart(ByteBuf part, Runnable whenWritten) {
    if (ended.get()) {
      part.release();
      whenWritten.run();
      return;
    }
    channel.writeAndFlush(new DefaultHttpContent(part)).addListener(written -> whenWritten.run());
  }

  /** Ends an answer whose parts have all been sent. */
  public void endStream() {
    runOnEventLoop(
        () -> {
          if (!ended.get()) {
            endAfter(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
          }
        });
  }

  /** Notes a refusal that was sent as an event of a stream. */
  public void recordRefusal(Refusal reason) {
    refusal.compareAndSet(null, reason);
  }

  /** Breaks the connection off; the caller sees an incomplete answer. */
  public void abort() {
    runOnEventLoop(channel::close);
  }

  /** Adds an action for when the answer has ended or the caller is gone; called once. */
  public void onEnd(Runnable listener) {
    synchronized (endListeners) {
      if (!ended.get()) {
        endListeners.add(listener);
        return;
      }
    }
    listener.run();
  }

  /** Returns the status of the answer, 0 if none has begun. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the refusal, if the request was refused. */
  public Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal.get());
  }

  /** Returns whether the answer has ended or the caller is gone. */
  public boolean isEnded() {
    return ended.get();
  }

  /** Returns whether the connection serves another request after this answer. */
  boolean isKeepAlive() {
    return isKeepAlive;
  }

  /** Says that the connection is gone. */
  void onConnectionLost() {
    begun.set(true);
    end();
  }

  private void writeFullResponse(DefaultFullHttpResponse response, Optional<Duration> retryAfter) {
    httpStatus = response.status().code();
    retryAfter.ifPresent(
        delay -> response.headers().set(HttpHeaderNames.RETRY_AFTER, secondsRoundedUp(delay)));
    setCommonHeaders(response);
    runOnEventLoop(() -> endAfter(channel.writeAndFlush(response)));
  }

  private void endAfter(ChannelFuture lastWrite) {
    lastWrite.addListener(written -> end());
  }

  private void end() {
    List<Runnable> listeners;
    synchronized (endListeners) {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      listeners = List.copyOf(endListeners);
    }
    listeners.forEach(Runnable::run);
  }

  private void setCommonHeaders(HttpResponse response) {
    response.headers().set(REQUEST_ID_HEADER, requestId);
    if (!isKeepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  // A task queue keeps the order of calls from different threads.
  private void runOnEventLoop(Runnable task) {
    channel.eventLoop().execute(task);
  }

  private static DefaultFullHttpResponse newFullResponse(
      int status, String contentType, byte[] body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return response;
  }

  private static long secondsRoundedUp(Duration delay) {
    return (delay.toMillis() + MS_PER_SECOND - 1) / MS_PER_SECOND;
  }

  private static byte[] toBytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
