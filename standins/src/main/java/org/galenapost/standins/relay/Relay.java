package org.galenapost.standins.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** A client connection and its connection to the target. Runs on the event loop. */
final class Relay {

  private final Channel client;
  private final Impairments impairments;
  private RelayHandler fromClient;
  private RelayHandler fromTarget;
  private boolean hasStarted;
  private boolean hasLostBytes;

  Relay(Channel client, Impairments impairments) {
    this.client = client;
    this.impairments = impairments;
  }

  Channel client() {
    return client;
  }

  boolean isConnected() {
    return fromClient != null;
  }

  /** Marks the relay as started and returns true on the first call only. */
  boolean tryStart() {
    boolean isFirst = !hasStarted;
    hasStarted = true;
    return isFirst;
  }

  /** Connects to a target; the future completes with the result of the attempt. */
  ChannelFuture connect(InetSocketAddress target) {
    fromTarget = new RelayHandler(this, Direction.FROM_TARGET, impairments, client);
    return new Bootstrap()
        .group(client.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(fromTarget)
        .connect(target);
  }

  /** Starts forwarding bytes between the client and a connected target. */
  void forwardTo(Channel target) {
    fromClient = new RelayHandler(this, Direction.TO_TARGET, impairments, target);
    client.pipeline().addLast(fromClient);
    updateAutoRead();
  }

  /** Reads from a side only if the other side is writable and the direction is not blocked. */
  void updateAutoRead() {
    if (isConnected()) {
      fromClient.updateAutoRead(client);
      fromTarget.updateAutoRead(fromClient.receiver());
    }
  }

  void markLostBytes() {
    hasLostBytes = true;
  }

  boolean hasLostBytes() {
    return hasLostBytes;
  }

  /** Resets both connections. */
  void reset() {
    reset(client);
    if (isConnected()) {
      reset(fromClient.receiver());
    }
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }
}
