package org.galenapost.daemon.http;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.atomic.AtomicInteger;

/** Closes connections beyond a limit before they cost more than their socket. */
@Sharable
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {

  private final int maxConnections;
  private final Runnable onConnectionRefused;
  private final AtomicInteger openConnections = new AtomicInteger();

  ConnectionLimiter(int maxConnections, Runnable onRefused) {
    this.maxConnections = maxConnections;
    this.onConnectionRefused = onRefused;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    int openNow = openConnections.incrementAndGet();
    context.channel().closeFuture().addListener(closed -> openConnections.decrementAndGet());
    if (openNow > maxConnections) {
      onConnectionRefused.run();
      context.close();
      return;
    }
    context.fireChannelActive();
  }
}
