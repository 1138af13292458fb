package org.galenapost.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Ends connections whose caller begins a request head and does not finish it in time. One handler
 * stands before the codec and sees the first bytes, the other one after it sees the whole head.
 */
public final class HeadTimer {

  private final Duration timeout;
  private Future<?> timer;
  private boolean isInRequest;

  private HeadTimer(Duration timeout) {
    this.timeout = timeout;
  }

  /**
   * Adds the handlers to a pipeline that holds an HTTP codec.
   *
   * @param pipeline the pipeline
   * @param codecName the name of the codec's handler
   * @param timeout how long a head may take from its first byte
   */
  public static void addTo(ChannelPipeline pipeline, String codecName, Duration timeout) {
    HeadTimer timer = new HeadTimer(timeout);
    pipeline.addBefore(codecName, "head-timer-bytes", timer.new ByteHandler());
    pipeline.addAfter(codecName, "head-timer-heads", timer.new RequestHandler());
  }

  private void startTimer(ChannelHandlerContext context) {
    if (timer == null && !isInRequest) {
      timer =
          context
              .executor()
              .schedule(
                  () -> context.fireUserEventTriggered(ConnectionFault.HEAD_TOO_SLOW),
                  timeout.toMillis(),
                  TimeUnit.MILLISECONDS);
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  private final class ByteHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      startTimer(context);
      context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      cancelTimer();
      context.fireChannelInactive();
    }
  }

  private final class RequestHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest) {
        isInRequest = true;
        cancelTimer();
      }
      if (message instanceof LastHttpContent) {
        isInRequest = false;
      }
      context.fireChannelRead(message);
    }
  }
}
