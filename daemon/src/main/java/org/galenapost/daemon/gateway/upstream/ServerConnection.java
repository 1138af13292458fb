package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.net.StrictClientCodec;

/**
 * One connection to a server. A response that names another call is skipped, and the connection is
 * closed after the response to the current call. A response that names no call ends the connection,
 * as it does not tell whether the current call has run. Bytes that arrive while no call is in
 * flight close the connection immediately, so a call is only sent on one that holds none.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

  private static final EventLog LOG = EventLog.of(ServerConnection.class);
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  /** Longest idle time of a connection whose server states no keep-alive timeout. */
  private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(2);

  /** Safety margin before the server's keep-alive timeout, in which no call is sent. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(500);

  private final long number;
  private final InstanceKey instance;
  private final CallFormat format;
  private final Consumer<ServerConnection> onIdle;
  private final Consumer<InstanceKey> onServerFault;
  private final StrictClientCodec codec;
  private Channel channel;
  private ChannelFuture requestWrite;
  private ResponseListener listener;
  private String callId;
  private EmbeddedHead embeddedHead = new EmbeddedHead();
  private boolean hasHead;
  private boolean isResponseSkipped;
  private boolean isReusable;
  private boolean isComplete;
  private boolean isFollowedByBytes;
  private Duration idleLimit = DEFAULT_IDLE_LIMIT;
  private long idleSinceNanos;
  private int sendCount;

  ServerConnection(
      long number,
      InstanceKey instance,
      CallFormat format,
      StrictClientCodec codec,
      Consumer<ServerConnection> onIdle,
      Consumer<InstanceKey> onServerFault) {
    this.number = number;
    this.instance = instance;
    this.format = format;
    this.codec = codec;
    this.onIdle = onIdle;
    this.onServerFault = onServerFault;
  }

  InstanceKey instance() {
    return instance;
  }

  void attach(Channel newChannel) {
    channel = newChannel;
  }

  boolean isOpen() {
    return channel.isActive();
  }

  void markIdleSince(long nanos) {
    idleSinceNanos = nanos;
  }

  boolean isIdleWithin(long nowNanos, Duration limit) {
    Duration idle = Duration.ofNanos(nowNanos - idleSinceNanos);
    return idle.compareTo(limit) <= 0 && idle.compareTo(idleLimit) <= 0;
  }

  /** Returns the number of this connection, unique in this process. */
  long number() {
    return number;
  }

  /** Sends a call on this idle connection, which has not carried the call before. */
  void send(OutgoingCall call, FullHttpRequest request, ResponseListener responseListener) {
    call.recordUse(number);
    sendCount++;
    callId = call.id();
    listener = responseListener;
    embeddedHead = new EmbeddedHead();
    hasHead = false;
    isResponseSkipped = false;
    isReusable = !HttpMethod.HEAD.equals(request.method());
    isComplete = false;
    isFollowedByBytes = false;
    requestWrite = channel.writeAndFlush(request);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpResponse response) {
        onResponse(response);
      }
      if (message instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onResponse(HttpResponse response) {
    if (listener == null || isComplete) {
      return;
    }
    if (response.decoderResult().isFailure()) {
      fail(SendFailure.malformed("not an HTTP response: " + response.decoderResult().cause()));
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      isResponseSkipped = true;
      return;
    }
    embeddedHead = new EmbeddedHead();
    ResponseHead head = format.readResponseHead(response);
    if (head.mergeSign().isPresent()) {
      fail(SendFailure.malformed("a head made of two: " + head.mergeSign().get()));
      return;
    }
    if (head.callId().isEmpty()) {
      fail(SendFailure.malformed("an answer with status " + head.status() + " names no call"));
      return;
    }
    if (!head.callId().get().equals(callId)) {
      LOG.info("answer_of_other_call")
          .with("id", callId)
          .with("answered", head.callId().get())
          .with("server", instance.text())
          .with("connection", number)
          .with("connection_sends", sendCount)
          .with("status", head.status())
          .write();
      onServerFault.accept(instance);
      isResponseSkipped = true;
      isReusable = false;
      return;
    }
    isResponseSkipped = false;
    hasHead = true;
    updateReusability(response);
    listener.onHead(head);
  }

  private void updateReusability(HttpResponse response) {
    boolean isBodyDelimited =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
    isReusable = isReusable && isBodyDelimited && HttpUtil.isKeepAlive(response);
    String keepAlive = response.headers().get("Keep-Alive", "");
    Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
    if (timeout.find()) {
      Duration serverTimeout = Duration.ofSeconds(Integer.parseInt(timeout.group(1)));
      idleLimit =
          serverTimeout.compareTo(IDLE_MARGIN) > 0
              ? serverTimeout.minus(IDLE_MARGIN)
              : Duration.ZERO;
    }
  }

  private void onContent(HttpContent content) {
    if (listener == null || isComplete) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      fail(SendFailure.malformed("malformed body: " + content.decoderResult().cause()));
      return;
    }
    boolean isLast = content instanceof LastHttpContent;
    boolean hasHeadGrown = embeddedHead.add(content.content());
    if (isResponseSkipped) {
      onSkippedContent(isLast);
      return;
    }
    if (!hasHead) {
      return;
    }
    if (hasHeadGrown && format.namesCall(embeddedHead.text())) {
      fail(SendFailure.malformed("the body holds the head of another answer"));
      return;
    }
    ByteBuf part = content.content();
    if (part.isReadable()) {
      listener.onBody(part);
    }
    if (isLast && listener != null) {
      isComplete = true;
    }
  }

  /** Fails the send if the skipped response may have taken in the response to the call. */
  private void onSkippedContent(boolean isLast) {
    if (embeddedHead.isFound()) {
      fail(SendFailure.malformed("the answer to another call was cut and holds a further one"));
    } else if (isLast) {
      isResponseSkipped = false;
      codec.awaitFurtherResponse();
    }
  }

  /**
   * Completes the call only here, so that stray bytes of the same read close the connection first.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (isComplete) {
      complete();
    } else if (listener != null) {
      listener.onReadComplete();
    }
  }

  private void complete() {
    if (embeddedHead.isFound() && isFollowedByBytes) {
      fail(SendFailure.malformed("the body holds a status line, and bytes follow it"));
      return;
    }
    ResponseListener completedListener = listener;
    listener = null;
    isComplete = false;
    boolean isWritten = requestWrite.isDone() && requestWrite.isSuccess();
    if (isReusable && isWritten && channel.isActive()) {
      onIdle.accept(this);
    } else {
      channel.close();
    }
    completedListener.onComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(SendFailure.closed(String.valueOf(cause.getMessage())));
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (isComplete) {
      complete();
    } else {
      fail(SendFailure.closed("the server closed the connection"));
    }
  }

  /** Logs bytes that belong to no call; the codec closes the connection. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof StrictClientCodec.UnrequestedBytes stray) {
      isReusable = false;
      isFollowedByBytes = true;
      LOG.info("stray_bytes")
          .with("server", instance.text())
          .with("connection", number)
          .with("connection_sends", sendCount)
          .with("bytes", stray.count())
          .write();
      onServerFault.accept(instance);
    }
    context.fireUserEventTriggered(event);
  }

  private void fail(SendFailure failure) {
    if (listener != null && failure.cause() == SendFailure.Cause.MALFORMED) {
      onServerFault.accept(instance);
    }
    ResponseListener failedListener = listener;
    listener = null;
    isComplete = false;
    if (channel != null) {
      channel.close();
    }
    if (failedListener != null) {
      failedListener.onFailure(failure);
    }
  }

  /**
   * Resets the connection, so that a request that is still on its way to the server is dropped
   * instead of being delivered after its call has ended.
   */
  void cancel() {
    listener = null;
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  /** Returns what tells in the logs which connection carried the last send. */
  ConnectionTrace trace() {
    return new ConnectionTrace(number, sendCount);
  }

  /** Pauses or resumes reading of the response. */
  void setReading(boolean isReading) {
    channel.config().setAutoRead(isReading);
  }

  void close() {
    channel.close();
  }
}
