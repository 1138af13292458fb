package org.galenapost.daemon.caller;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.explain.RequestTrace;
import org.galenapost.daemon.http.ConnectionFault;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.log.EventLog;

/**
 * Serves one connection: one exchange at a time, in the order of the requests. Requests that wait
 * are bounded; beyond the bound the connection is not read until some are answered.
 */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final EventLog LOG = EventLog.of(CallerHandler.class);

  private static final int MAX_PENDING_REQUESTS = 32;
  private static final int MAX_PENDING_BYTES = 64 * 1024;

  private static final Refusal MALFORMED =
      Refusal.notRun(RefusalReason.BAD_REQUEST, "The request is not well-formed HTTP/1.1.");

  private final FilterChain chain;
  private final MonotonicClock clock;
  private final InstantSource time;
  private final DaemonState state;
  private final Consumer<Refusal> onUnreadable;
  private final Deque<PendingRequest> pending = new ArrayDeque<>();
  private Exchange current;
  private boolean isClosing;

  CallerHandler(
      FilterChain chain,
      MonotonicClock clock,
      InstantSource time,
      DaemonState state,
      Consumer<Refusal> onUnreadable) {
    this.chain = chain;
    this.clock = clock;
    this.time = time;
    this.state = state;
    this.onUnreadable = onUnreadable;
  }

  private record PendingRequest(
      CallerRequest request, boolean isMalformed, boolean isKeepAlive, boolean isChunkedAllowed) {}

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
    if (isClosing) {
      return;
    }
    pending.add(toPending(message));
    if (current == null) {
      beginNext(context);
    } else if (isPendingFull()) {
      context.channel().config().setAutoRead(false);
    }
  }

  private boolean isPendingFull() {
    int bytes = pending.stream().mapToInt(waiting -> waiting.request().body().length).sum();
    return pending.size() >= MAX_PENDING_REQUESTS || bytes >= MAX_PENDING_BYTES;
  }

  private static PendingRequest toPending(FullHttpRequest message) {
    CallerRequest request =
        new CallerRequest(
            message.method(),
            message.uri(),
            message.headers().copy(),
            ByteBufUtil.getBytes(message.content()));
    boolean isMalformed = message.decoderResult().isFailure();
    boolean isKeepAlive = !isMalformed && HttpUtil.isKeepAlive(message);
    boolean isChunkedAllowed = message.protocolVersion().equals(HttpVersion.HTTP_1_1);
    return new PendingRequest(request, isMalformed, isKeepAlive, isChunkedAllowed);
  }

  private void beginNext(ChannelHandlerContext context) {
    PendingRequest next = pending.poll();
    if (!isPendingFull()) {
      context.channel().config().setAutoRead(true);
    }
    if (next != null) {
      begin(context, next);
    }
  }

  private void begin(ChannelHandlerContext context, PendingRequest next) {
    Exchange exchange = newExchange(context, next);
    current = exchange;
    exchange.response().onEnd(() -> context.executor().execute(() -> onExchangeEnded(context, exchange)));
    dispatch(exchange, next.isMalformed());
  }

  private Exchange newExchange(ChannelHandlerContext context, PendingRequest next) {
    String requestId = RequestIds.newRequestId();
    boolean isKeepAlive = next.isKeepAlive() && !state.isDraining();
    CallerResponse response =
        new CallerResponse(context.channel(), requestId, next.isChunkedAllowed(), isKeepAlive);
    RequestTrace trace = new RequestTrace(requestId, time);
    return new Exchange(next.request(), response, trace, clock.nanos());
  }

  private void dispatch(Exchange exchange, boolean isMalformed) {
    if (isMalformed) {
      onUnreadable.accept(MALFORMED);
      exchange.refuse(MALFORMED);
    } else {
      chain.proceed(exchange);
    }
  }

  private void onExchangeEnded(ChannelHandlerContext context, Exchange exchange) {
    if (current != exchange) {
      return;
    }
    current = null;
    if (exchange.response().isKeepAlive()) {
      beginNext(context);
    } else {
      isClosing = true;
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    isClosing = true;
    pending.clear();
    if (current != null) {
      current.response().onConnectionLost();
    }
    context.fireChannelInactive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ConnectionFault fault) {
      onFault(context, fault);
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  private void onFault(ChannelHandlerContext context, ConnectionFault fault) {
    LOG.info("connection_ended").with("fault", fault).write();
    isClosing = true;
    pending.clear();
    if (fault == ConnectionFault.READER_TOO_SLOW || current != null) {
      recordSlowReader(fault);
      context.close();
    } else {
      refuseUnreadRequest(context, fault);
    }
  }

  private void recordSlowReader(ConnectionFault fault) {
    if (current != null && fault == ConnectionFault.READER_TOO_SLOW) {
      current
          .response()
          .recordRefusal(
              Refusal.mayHaveRun(
                  RefusalReason.CALLER_TOO_SLOW, "The answer was not read in time."));
    }
  }

  private void refuseUnreadRequest(ChannelHandlerContext context, ConnectionFault fault) {
    String requestId = RequestIds.newRequestId();
    CallerResponse response = new CallerResponse(context.channel(), requestId, true, false);
    response.onEnd(context::close);
    onUnreadable.accept(refusalOf(fault));
    response.refuse(refusalOf(fault));
  }

  private static Refusal refusalOf(ConnectionFault fault) {
    return fault == ConnectionFault.BODY_TOO_LARGE
        ? Refusal.notRun(RefusalReason.BODY_TOO_LARGE, "The body is longer than the limit.")
        : Refusal.notRun(RefusalReason.CALLER_TOO_SLOW, "The body did not arrive in time.");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("connection_failed").with("error", cause).write();
    context.close();
  }
}
