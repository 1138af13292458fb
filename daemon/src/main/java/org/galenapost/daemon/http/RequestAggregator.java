package org.galenapost.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Aggregates the parts of a request into a full request. It fires {@link
 * ConnectionFault#BODY_TOO_LARGE} when the body exceeds the limit.
 */
final class RequestAggregator extends HttpObjectAggregator {

  RequestAggregator(int maxBodyBytes) {
    super(maxBodyBytes, true);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    context.fireUserEventTriggered(ConnectionFault.BODY_TOO_LARGE);
  }
}
