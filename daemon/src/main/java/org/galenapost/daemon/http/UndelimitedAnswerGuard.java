package org.galenapost.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Resets a connection that ends in the middle of an answer without a length, as callers of HTTP/1.0
 * get it. Its regular end marks the end of such an answer, so a close would make a part of it look
 * complete. The socket is set to be reset while the answer is written; thus the reset also comes if
 * the process ends.
 */
final class UndelimitedAnswerGuard extends ChannelOutboundHandlerAdapter {

  private static final int RESET_ON_CLOSE = 0;
  private static final int REGULAR_CLOSE = -1;

  private boolean isUndelimited;

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpResponse response) {
      isUndelimited =
          !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
      if (isUndelimited) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
      }
    }
    if (isUndelimited && message instanceof LastHttpContent) {
      isUndelimited = false;
      ChannelPromise observed = promise.unvoid();
      observed.addListener((ChannelFuture written) -> onLastPart(context.channel(), written));
      context.write(message, observed);
      return;
    }
    context.write(message, promise);
  }

  private static void onLastPart(Channel channel, ChannelFuture written) {
    if (written.isSuccess()) {
      channel.config().setOption(ChannelOption.SO_LINGER, REGULAR_CLOSE);
    }
  }
}
