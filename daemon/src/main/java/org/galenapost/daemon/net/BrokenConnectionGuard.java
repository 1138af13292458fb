package org.galenapost.daemon.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;

/**
 * Keeps a response from being completed by the failure of its connection. A response without a
 * length ends with its connection, and the decoder takes every end for a regular one, also that of
 * a connection that the server has reset. A reset may show in a read or in a write of the request;
 * after either, this handler drops the end of the response. A failed write also shows as an
 * exception of the connection. It belongs behind the HTTP codec of every client.
 */
public final class BrokenConnectionGuard extends ChannelDuplexHandler {

  private boolean isBroken;

  /** Adds a guard behind the HTTP codec of a connection. */
  public static void addTo(Channel channel) {
    String codec = channel.pipeline().context(StrictClientCodec.class).name();
    channel.pipeline().addAfter(codec, "broken-connection-guard", new BrokenConnectionGuard());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isBroken && message instanceof LastHttpContent) {
      ReferenceCountUtil.release(message);
      return;
    }
    context.fireChannelRead(message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    isBroken = true;
    context.fireExceptionCaught(cause);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ChannelPromise observed = promise.unvoid();
    observed.addListener((ChannelFuture written) -> onWritten(context, written));
    context.write(message, observed);
  }

  /** A regular end of the connection also fails what is left to write, as a closed channel. */
  private void onWritten(ChannelHandlerContext context, ChannelFuture written) {
    Throwable cause = written.cause();
    if (cause != null && !(cause instanceof ClosedChannelException)) {
      exceptionCaught(context, cause);
    }
  }
}
