package org.galenapost.daemon.peer;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Queue;
import org.galenapost.core.peer.PeerMessage;

/**
 * The outgoing connection to one daemon with the messages that wait for it. It holds a bounded
 * number of messages; more are dropped, as the bus promises no delivery.
 */
final class PeerLink {

  private static final int MAX_PENDING_MESSAGES = 1024;

  private final Queue<PeerMessage> pendingMessages = new ArrayDeque<>();
  private Channel channel;
  private boolean isConnecting;

  /** Sends or keeps a message and returns whether the caller must connect. */
  synchronized boolean offer(PeerMessage message) {
    if (isOpen()) {
      if (channel.isWritable()) {
        channel.writeAndFlush(message);
      }
      return false;
    }
    if (pendingMessages.size() < MAX_PENDING_MESSAGES) {
      pendingMessages.add(message);
    }
    boolean mustConnect = !isConnecting;
    isConnecting = true;
    return mustConnect;
  }

  synchronized void onConnected(Channel newChannel) {
    isConnecting = false;
    channel = newChannel;
    pendingMessages.forEach(channel::write);
    pendingMessages.clear();
    channel.flush();
  }

  /** Forgets the connection and what waits for it. */
  synchronized void onDisconnected() {
    isConnecting = false;
    pendingMessages.clear();
  }

  synchronized void close() {
    pendingMessages.clear();
    if (channel != null) {
      channel.close();
    }
  }

  synchronized boolean isOpen() {
    return channel != null && channel.isActive();
  }
}
