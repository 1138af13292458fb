package org.galenapost.daemon.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes the end of a response on once all bytes that were read with it are decoded. A client that
 * learns of it earlier may send the next request on the connection, and bytes that follow the
 * response would be decoded as the next one.
 */
final class ResponseEndDelay extends ChannelInboundHandlerAdapter {

  private Object end;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    firePending(context);
    if (message instanceof LastHttpContent) {
      end = message;
    } else {
      context.fireChannelRead(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    firePending(context);
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    firePending(context);
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    ReferenceCountUtil.release(end);
    end = null;
  }

  private void firePending(ChannelHandlerContext context) {
    if (end != null) {
      Object pending = end;
      end = null;
      context.fireChannelRead(pending);
    }
  }
}
