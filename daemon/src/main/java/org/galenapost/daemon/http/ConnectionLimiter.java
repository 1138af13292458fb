package org.galenapost.daemon.http;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Closes connections beyond a limit. It comes first in the pipeline, so that a rejected connection
 * allocates nothing but its socket.
 */
@Sharable
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {

  private final int maxConnections;
  private final Runnable onConnectionRefused;
  private final AtomicInteger openConnections = new AtomicInteger();

  ConnectionLimiter(int maxConnections, Runnable onConnectionRefused) {
    this.maxConnections = maxConnections;
    this.onConnectionRefused = onConnectionRefused;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    int openCount = openConnections.incrementAndGet();
    context.channel().closeFuture().addListener(closed -> openConnections.decrementAndGet());
    if (openCount > maxConnections) {
      onConnectionRefused.run();
      context.close();
      return;
    }
    context.fireChannelActive();
  }
}
