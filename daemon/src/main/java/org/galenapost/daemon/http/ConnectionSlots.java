package org.galenapost.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the open connections of a listener without keeping new callers out. A connection beyond
 * the bound takes the place of the one that has waited for a complete request for longest. If a
 * complete request is in progress on each of them, the new connection is closed.
 *
 * <p>It comes first in the pipeline, so that a refused connection allocates nothing but its socket.
 */
@Sharable
public final class ConnectionSlots extends ChannelInboundHandlerAdapter {

  private final int maxConnections;
  private final Runnable onConnectionClosed;
  private final Set<Channel> waiting = new LinkedHashSet<>();
  private int openCount;

  /**
   * Creates the slots of one listener.
   *
   * @param maxConnections the maximum number of open connections
   * @param onConnectionClosed called for each connection that is closed because of the bound
   */
  public ConnectionSlots(int maxConnections, Runnable onConnectionClosed) {
    this.maxConnections = maxConnections;
    this.onConnectionClosed = onConnectionClosed;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Channel channel = context.channel();
    if (!tryTakeSlot()) {
      onConnectionClosed.run();
      channel.close();
      return;
    }
    channel.closeFuture().addListener(closed -> giveSlotBack(channel));
    context.fireChannelActive();
  }

  private boolean tryTakeSlot() {
    Channel longestWaiting = null;
    synchronized (this) {
      if (openCount >= maxConnections) {
        longestWaiting = takeLongestWaiting();
        if (longestWaiting == null) {
          return false;
        }
      }
      openCount++;
    }
    if (longestWaiting != null) {
      onConnectionClosed.run();
      longestWaiting.close();
    }
    return true;
  }

  private Channel takeLongestWaiting() {
    Iterator<Channel> longestFirst = waiting.iterator();
    if (!longestFirst.hasNext()) {
      return null;
    }
    Channel channel = longestFirst.next();
    longestFirst.remove();
    return channel;
  }

  private synchronized void giveSlotBack(Channel channel) {
    openCount--;
    waiting.remove(channel);
  }

  /** Records that a connection waits for a complete request from now on. */
  synchronized void onWaiting(Channel channel) {
    if (channel.isActive()) {
      waiting.remove(channel);
      waiting.add(channel);
    }
  }

  /** Records that a complete request is in progress on a connection. */
  synchronized void onRequest(Channel channel) {
    waiting.remove(channel);
  }
}
