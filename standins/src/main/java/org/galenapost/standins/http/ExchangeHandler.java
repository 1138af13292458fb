package org.galenapost.standins.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.AttributeKey;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Creates an exchange for each decoded request and passes it to the request handler. */
@ChannelHandler.Sharable
final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  static final AttributeKey<Runnable> WRITABLE_LISTENER =
      AttributeKey.valueOf(ExchangeHandler.class, "writable-listener");

  static final AttributeKey<Runnable> CLOSE_LISTENER =
      AttributeKey.valueOf(ExchangeHandler.class, "close-listener");

  private static final Logger LOG = LogManager.getLogger(ExchangeHandler.class);
  private static final int BAD_REQUEST = 400;
  private static final int INTERNAL_ERROR = 500;

  private final RequestHandler handler;

  ExchangeHandler(RequestHandler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    Exchange exchange = new Exchange(ctx.channel(), request);
    if (request.decoderResult().isFailure()) {
      exchange.replyError(BAD_REQUEST, "request cannot be decoded");
      return;
    }
    handle(exchange);
  }

  private void handle(Exchange exchange) {
    try {
      handler.handle(exchange);
    } catch (HttpError e) {
      exchange.replyError(e.status(), e.getMessage());
    } catch (RuntimeException e) {
      LOG.error("event=handler-failed path={}", exchange.path(), e);
      exchange.replyError(INTERNAL_ERROR, e.toString());
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Runnable listener = ctx.channel().attr(WRITABLE_LISTENER).get();
    if (listener != null && ctx.channel().isWritable()) {
      listener.run();
    }
  }

  /**
   * Sets an action that runs if the connection closes before the current response is complete. Runs
   * it at once if the connection is already closed.
   */
  static void setCloseListener(Channel channel, Runnable action) {
    if (channel.isActive()) {
      channel.attr(CLOSE_LISTENER).set(action);
    } else {
      action.run();
    }
  }

  /** Removes the listeners of a completed response. */
  static void clearListeners(Channel channel) {
    channel.attr(CLOSE_LISTENER).set(null);
    channel.attr(WRITABLE_LISTENER).set(null);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Runnable listener = ctx.channel().attr(CLOSE_LISTENER).getAndSet(null);
    if (listener != null) {
      listener.run();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      LOG.warn("event=connection-failed", cause);
    }
    ctx.close();
  }
}
