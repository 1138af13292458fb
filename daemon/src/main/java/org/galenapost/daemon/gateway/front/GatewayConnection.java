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
 * Serves one caller's connection: one call at a time, in the order of the requests. Requests that
 * wait are bounded; beyond the bound the connection is not read until some are answered.
 */
final class GatewayConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final EventLog LOG = EventLog.of(GatewayConnection.class);
  private static final int MAX_WAITING_REQUESTS = 16;

  private final GatewayFront front;
  private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
  private Optional<CallRun> run = Optional.empty();
  private Channel channel;
  private boolean isBusy;
  private boolean isClosing;

  GatewayConnection(GatewayFront front) {
    this.front = front;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    front.connected(this);
    context.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (isClosing) {
      return;
    }
    if (isBusy) {
      waiting.add(request.retain());
      if (waiting.size() >= MAX_WAITING_REQUESTS) {
        context.channel().config().setAutoRead(false);
      }
      return;
    }
    begin(context, request);
  }

  private void begin(ChannelHandlerContext context, FullHttpRequest request) {
    isBusy = true;
    long startNanos = front.clock().nanos();
    Either<Refusal, AcceptedCall> accepted =
        front.intake().accept(request, ByteBufUtil.getBytes(request.content()), startNanos);
    boolean isMalformed = request.decoderResult().isFailure();
    CallerExchange exchange =
        new CallerExchange(
            context.channel(),
            accepted.isRight() ? accepted.get().head().id() : front.intake().idOf(request),
            !isMalformed && HttpUtil.isKeepAlive(request),
            request.protocolVersion().equals(HttpVersion.HTTP_1_1),
            front::isDraining,
            stays -> ended(context, stays));
    if (accepted.isLeft()) {
      front.refused(accepted.getLeft(), front.intake().idOf(request));
      if (accepted.getLeft().reason() == RefusalReason.BAD_REQUEST) {
        exchange.closeAfterwards();
      }
      exchange.writeRefusal(accepted.getLeft());
      return;
    }
    CallRun started = front.newRun(accepted.get(), exchange);
    run = Optional.of(started);
    started.start();
  }

  private void ended(ChannelHandlerContext context, boolean staysOpen) {
    run = Optional.empty();
    isBusy = false;
    if (!staysOpen) {
      isClosing = true;
      releaseWaiting();
      context.close();
      return;
    }
    FullHttpRequest next = waiting.poll();
    context.channel().config().setAutoRead(true);
    if (next != null) {
      try {
        begin(context, next);
      } finally {
        next.release();
      }
    }
  }

  /** Closes the connection unless a call is in progress on it. */
  void closeIfIdle() {
    if (!isBusy && channel != null) {
      isClosing = true;
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    isClosing = true;
    releaseWaiting();
    front.disconnected(this);
    run.ifPresent(CallRun::onCallerDisconnected);
    run = Optional.empty();
    context.fireChannelInactive();
  }

  private void releaseWaiting() {
    waiting.forEach(FullHttpRequest::release);
    waiting.clear();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      run.ifPresent(CallRun::onWritable);
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ConnectionFault fault) {
      end(context, fault);
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  private void end(ChannelHandlerContext context, ConnectionFault fault) {
    LOG.info("connection_ended").with("fault", fault).write();
    isClosing = true;
    if (isBusy || fault == ConnectionFault.READER_TOO_SLOW) {
      context.close();
      return;
    }
    Refusal refusal = refusalOf(fault);
    front.refused(refusal, "-");
    CallerExchange exchange =
        new CallerExchange(
            context.channel(), "-", false, true, front::isDraining, stays -> context.close());
    exchange.writeRefusal(refusal);
  }

  private static Refusal refusalOf(ConnectionFault fault) {
    return switch (fault) {
      case BODY_TOO_LARGE ->
          Refusal.notRun(RefusalReason.BODY_TOO_LARGE, "The body is longer than the limit.");
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
