package org.galenapost.daemon.gateway.front;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.gateway.run.AcceptedCall;
import org.galenapost.daemon.gateway.run.CallRun;
import org.galenapost.daemon.http.ConnectionFault;
import org.galenapost.daemon.log.EventLog;

/**
 * Serves one connection of a caller, with one call at a time in the order of the requests. The
 * queue of pipelined requests is bounded; while it is full, the connection is not read.
 *
 * <p>A request starts only after everything that has arrived on the connection is read. The request
 * of a caller that has already left, which is common after a late start or a stall, is then dropped
 * instead of being sent to a server.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final EventLog LOG = EventLog.of(CallerConnection.class);
  private static final int MAX_QUEUED_REQUESTS = 16;

  private final CallerFrontend frontend;
  private final Deque<FullHttpRequest> queuedRequests = new ArrayDeque<>();
  private Optional<CallRun> currentRun = Optional.empty();
  private Runnable endOfCall = () -> {};
  private Channel channel;
  private UnreadBytes unread;
  private boolean hasCallInProgress;
  private boolean isClosing;

  CallerConnection(CallerFrontend frontend) {
    this.frontend = frontend;
  }

  /** Called also for connections that are refused, which never become active here. */
  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    unread = frontend.unreadBytes(channel);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    frontend.addConnection(this);
    context.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (isClosing) {
      return;
    }
    queuedRequests.add(request.retain());
    if (queuedRequests.size() >= MAX_QUEUED_REQUESTS) {
      context.channel().config().setAutoRead(false);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (!queuedRequests.isEmpty() && !hasCallInProgress) {
      // The end of the connection is reported only after this event.
      context.executor().execute(() -> startNextCall(context));
    }
    context.fireChannelReadComplete();
  }

  private void startNextCall(ChannelHandlerContext context) {
    if (isClosing || hasCallInProgress) {
      return;
    }
    FullHttpRequest next = queuedRequests.poll();
    if (next == null) {
      return;
    }
    try {
      startCall(context, next);
    } finally {
      next.release();
    }
  }

  private void startCall(ChannelHandlerContext context, FullHttpRequest request) {
    hasCallInProgress = true;
    long startNanos = frontend.clock().nanos();
    RefusalHeaders refusalHeaders = frontend.validator().refusalHeaders(request);
    Either<Refusal, AcceptedCall> accepted =
        frontend.validator().validate(request, ByteBufUtil.getBytes(request.content()), startNanos);
    boolean isMalformed = request.decoderResult().isFailure();
    CallerExchange exchange =
        new CallerExchange(
            context.channel(),
            unread,
            accepted.isRight() ? accepted.get().head().id() : frontend.validator().idOf(request),
            !isMalformed && HttpUtil.isKeepAlive(request),
            request.protocolVersion().equals(HttpVersion.HTTP_1_1),
            refusalHeaders,
            frontend::isDraining,
            staysOpen -> onResponseWritten(context, staysOpen));
    if (accepted.isLeft()) {
      if (accepted.getLeft().reason() == RefusalReason.BAD_REQUEST) {
        exchange.closeAfterResponse();
      }
      refuse(exchange, accepted.getLeft(), frontend.validator().idOf(request));
      return;
    }
    endOfCall = frontend.beginCall();
    frontend.resolveOrigin(accepted.get(), call -> run(call, exchange));
  }

  private void run(Either<Refusal, AcceptedCall> call, CallerExchange exchange) {
    if (isClosing) {
      return;
    }
    if (call.isLeft()) {
      refuse(exchange, call.getLeft(), exchange.callId());
    } else {
      CallRun started = frontend.newRun(call.get(), exchange);
      currentRun = Optional.of(started);
      started.start();
    }
  }

  private void refuse(CallerExchange exchange, Refusal refusal, String callId) {
    frontend.recordRefusal(refusal, callId);
    exchange.writeRefusal(refusal, false);
  }

  /** Ends the call only now, so that a daemon that stops waits for responses on their way. */
  private void onResponseWritten(ChannelHandlerContext context, boolean staysOpen) {
    endOfCall.run();
    currentRun = Optional.empty();
    hasCallInProgress = false;
    if (!staysOpen) {
      isClosing = true;
      releaseQueuedRequests();
      context.close();
      return;
    }
    context.channel().config().setAutoRead(true);
    startNextCall(context);
  }

  /** Closes the connection unless a call is in progress or waiting on it. */
  void closeIfIdle() {
    if (!hasCallInProgress && queuedRequests.isEmpty() && channel != null) {
      isClosing = true;
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    isClosing = true;
    unread.release();
    releaseQueuedRequests();
    frontend.removeConnection(this);
    endOfCall.run();
    currentRun.ifPresent(CallRun::onCallerDisconnected);
    currentRun = Optional.empty();
    context.fireChannelInactive();
  }

  private void releaseQueuedRequests() {
    queuedRequests.forEach(FullHttpRequest::release);
    queuedRequests.clear();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      unread.release();
      currentRun.ifPresent(CallRun::onWritable);
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ConnectionFault fault) {
      closeOnFault(context, fault);
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  private void closeOnFault(ChannelHandlerContext context, ConnectionFault fault) {
    LOG.info("connection_ended").with("fault", fault).write();
    isClosing = true;
    if (hasCallInProgress || fault == ConnectionFault.READER_TOO_SLOW) {
      context.close();
      return;
    }
    Refusal refusal = refusalOf(fault);
    frontend.recordRefusal(refusal, "-");
    CallerExchange exchange =
        new CallerExchange(
            context.channel(),
            unread,
            "-",
            false,
            true,
            RefusalHeaders.NONE,
            frontend::isDraining,
            staysOpen -> context.close());
    exchange.writeRefusal(refusal, false);
  }

  private static Refusal refusalOf(ConnectionFault fault) {
    return switch (fault) {
      case BODY_TOO_LARGE ->
          Refusal.notRun(RefusalReason.BODY_TOO_LARGE, "The body is longer than the limit.");
      case HEAD_EVICTED -> RequestValidator.noRoomForHead();
      default ->
          Refusal.notRun(RefusalReason.CALLER_TOO_SLOW, "The request did not arrive in time.");
    };
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("connection_failed").with("error", cause).write();
    context.close();
  }
}
