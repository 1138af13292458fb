package org.galenapost.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Detects callers that send or read too slowly. It closes a connection without a complete request
 * head within the idle timeout, and fires a {@link ConnectionFault} for a slow body or a slow
 * reader. The idle timeout runs from when the last response has left; receiving single bytes does
 * not extend it. A caller reads too slowly if it takes nothing of what waits for it within a
 * timeout.
 */
final class SlowCallerGuard extends ChannelDuplexHandler {

  private final ListenerOptions options;
  private final Optional<ConnectionSlots> slots;
  private Future<?> requestTimer;
  private Future<?> slowReaderTimer;
  private Future<?> unsentResponseTimer;
  private int unansweredRequests;
  private boolean isReadingRequest;

  /**
   * Creates the guard of one connection.
   *
   * @param options the timeouts
   * @param slots told when the connection waits for a complete request, if the listener has slots
   */
  SlowCallerGuard(ListenerOptions options, Optional<ConnectionSlots> slots) {
    this.options = options;
    this.slots = slots;
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
    cancel(unsentResponseTimer);
    context.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest) {
      isReadingRequest = true;
      startBodyTimer(context);
    }
    if (message instanceof LastHttpContent) {
      isReadingRequest = false;
      unansweredRequests++;
      slots.ifPresent(taken -> taken.onRequest(context.channel()));
      cancel(requestTimer);
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (!(message instanceof LastHttpContent)) {
      context.write(message, promise);
      return;
    }
    ChannelPromise observed = promise.unvoid();
    observed.addListener(written -> onResponseLeft(context));
    context.write(message, observed);
    // Runs after the flush that follows.
    context.executor().execute(() -> startUnsentResponseTimer(context));
  }

  private void onResponseLeft(ChannelHandlerContext context) {
    cancel(unsentResponseTimer);
    unansweredRequests = Math.max(0, unansweredRequests - 1);
    if (unansweredRequests == 0 && !isReadingRequest && context.channel().isActive()) {
      startIdleTimer(context);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    cancel(slowReaderTimer);
    if (!context.channel().isWritable()) {
      context.executor().execute(() -> startSlowReaderTimer(context));
    }
    context.fireChannelWritabilityChanged();
  }

  /** Closes a connection whose caller takes nothing of a whole response for the idle timeout. */
  private void startUnsentResponseTimer(ChannelHandlerContext context) {
    cancel(unsentResponseTimer);
    long unsentBytes = unsentBytes(context.channel());
    if (unsentBytes > 0) {
      unsentResponseTimer =
          schedule(
              context,
              options.idleTimeout(),
              () -> {
                if (unsentBytes(context.channel()) < unsentBytes) {
                  startUnsentResponseTimer(context);
                } else {
                  context.close();
                }
              });
    }
  }

  private void startSlowReaderTimer(ChannelHandlerContext context) {
    cancel(slowReaderTimer);
    long unsentBytes = unsentBytes(context.channel());
    if (context.channel().isWritable()) {
      return;
    }
    slowReaderTimer =
        schedule(
            context,
            options.slowReaderTimeout(),
            () -> {
              if (unsentBytes(context.channel()) < unsentBytes) {
                startSlowReaderTimer(context);
              } else {
                fireFault(context, ConnectionFault.READER_TOO_SLOW);
              }
            });
  }

  private static long unsentBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  private void startIdleTimer(ChannelHandlerContext context) {
    slots.ifPresent(taken -> taken.onWaiting(context.channel()));
    cancel(requestTimer);
    requestTimer = schedule(context, options.idleTimeout(), context::close);
  }

  private void startBodyTimer(ChannelHandlerContext context) {
    cancel(requestTimer);
    requestTimer =
        schedule(
            context,
            options.bodyTimeout(),
            () -> fireFault(context, ConnectionFault.BODY_TOO_SLOW));
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
