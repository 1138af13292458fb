package org.galenapost.daemon.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;

/**
 * Keeps a response from being completed by the failure of its connection. A response without a
 * length ends with its connection, and the decoder takes every end for a regular one, also that of
 * a connection that the server has reset. A reset may show in a read or in a write of the request;
 * after either, this handler drops the end of the response. A failed write also shows as an
 * exception of the connection. It belongs behind the HTTP codec of every client.
 *
 * <p>A server that closes its socket with a part of the request unread ends its output first and is
 * reset then. So if the connection ends regularly while the request is being written, the end of
 * the response is held until the rest of the request is written.
 */
public final class BrokenConnectionGuard extends ChannelDuplexHandler {

  private boolean isBroken;
  private int pendingWrites;
  private Object heldEnd;

  /** Adds a guard behind the HTTP codec of a connection. */
  public static void addTo(Channel channel) {
    String codec = channel.pipeline().context(StrictClientCodec.class).name();
    channel.pipeline().addAfter(codec, "broken-connection-guard", new BrokenConnectionGuard());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof LastHttpContent && isBroken) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof LastHttpContent && pendingWrites > 0 && hasEnded(context)) {
      heldEnd = message;
    } else {
      context.fireChannelRead(message);
    }
  }

  private static boolean hasEnded(ChannelHandlerContext context) {
    return context.channel() instanceof DuplexChannel duplex && duplex.isInputShutdown();
  }

  /** Closes a connection that its server has ended, as if half-closed ones were not allowed. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && heldEnd == null) {
      context.close();
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    dropHeldEnd();
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    dropHeldEnd();
  }

  private void dropHeldEnd() {
    ReferenceCountUtil.release(heldEnd);
    heldEnd = null;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    isBroken = true;
    dropHeldEnd();
    context.fireExceptionCaught(cause);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ChannelPromise observed = promise.unvoid();
    observed.addListener((ChannelFuture written) -> onWritten(context, written));
    pendingWrites++;
    setHalfClosable(context.channel(), true);
    context.write(message, observed);
  }

  /** A regular end of the connection also fails what is left to write, as a closed channel. */
  private void onWritten(ChannelHandlerContext context, ChannelFuture written) {
    pendingWrites--;
    Throwable cause = written.cause();
    if (cause != null && !(cause instanceof ClosedChannelException)) {
      exceptionCaught(context, cause);
    }
    if (pendingWrites == 0) {
      setHalfClosable(context.channel(), false);
      fireHeldEnd(context);
    }
  }

  private void fireHeldEnd(ChannelHandlerContext context) {
    if (heldEnd == null) {
      return;
    }
    Object end = heldEnd;
    heldEnd = null;
    context.fireChannelRead(end);
    context.fireChannelReadComplete();
    context.close();
  }

  /** A connection in use is half-closable only meanwhile, so that its end is noticed otherwise. */
  private static void setHalfClosable(Channel channel, boolean isHalfClosable) {
    if (channel instanceof DuplexChannel) {
      channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, isHalfClosable);
    }
  }
}
