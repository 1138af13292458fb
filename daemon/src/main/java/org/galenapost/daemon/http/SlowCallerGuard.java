package org.galenapost.daemon.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Ends connections whose caller sends or reads too slowly. The time for a request head runs from
 * the last answer, and single bytes do not extend it.
 */
final class SlowCallerGuard extends ChannelDuplexHandler {

  private final ListenerOptions options;
  private Future<?> requestTimer;
  private Future<?> slowReaderTimer;
  private int unansweredRequests;

  SlowCallerGuard(ListenerOptions options) {
    this.options = options;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    startIdleTimer(context);
    context.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancel(requestTimer);
    cancel(slowReaderTimer);
    context.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest) {
      startBodyTimer(context);
    }
    if (message instanceof LastHttpContent) {
      unansweredRequests++;
      cancel(requestTimer);
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof LastHttpContent) {
      unansweredRequests = Math.max(0, unansweredRequests - 1);
      if (unansweredRequests == 0) {
        startIdleTimer(context);
      }
    }
    context.write(message, promise);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    cancel(slowReaderTimer);
    if (!context.channel().isWritable()) {
      slowReaderTimer =
          schedule(
              context,
              options.slowReaderTimeout(),
              () -> fireFault(context, ConnectionFault.READER_TOO_SLOW));
    }
    context.fireChannelWritabilityChanged();
  }

  private void startIdleTimer(ChannelHandlerContext context) {
    cancel(requestTimer);
    requestTimer = schedule(context, options.idleTimeout(), context::close);
  }

  private void startBodyTimer(ChannelHandlerContext context) {
    cancel(requestTimer);
    requestTimer =
        schedule(
            context, options.bodyTimeout(), () -> fireFault(context, ConnectionFault.BODY_TOO_SLOW));
  }

  private static void fireFault(ChannelHandlerContext context, ConnectionFault fault) {
    context.fireUserEventTriggered(fault);
  }

  private static Future<?> schedule(ChannelHandlerContext context, Duration delay, Runnable task) {
    return context.executor().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static void cancel(Future<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
