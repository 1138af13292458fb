package org.galenapost.standins.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** One client's connection and its connection to a target. Runs on the event loop. */
final class Relay {

  private final Channel client;
  private final Impairments impairment;
  private RelayHandler fromClient;
  private RelayHandler fromTarget;
  private boolean hasStarted;
  private boolean hasLostBytes;

  Relay(Channel client, Impairments impairment) {
    this.client = client;
    this.impairment = impairment;
  }

  Channel client() {
    return client;
  }

  boolean isConnected() {
    return fromClient != null;
  }

  /** Returns true once, for whoever is to connect it. */
  boolean tryStart() {
    boolean isFirst = !hasStarted;
    hasStarted = true;
    return isFirst;
  }

  /** Connects to a target; the future tells whether it answered. */
  ChannelFuture connect(InetSocketAddress target) {
    fromTarget = new RelayHandler(this, Direction.FROM_TARGET, impairment, client);
    return new Bootstrap()
        .group(client.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(fromTarget)
        .connect(target);
  }

  /** Lets bytes pass, now that the target has answered. */
  void forwardTo(Channel target) {
    fromClient = new RelayHandler(this, Direction.TO_TARGET, impairment, target);
    client.pipeline().addLast(fromClient);
    updateAutoRead();
  }

  /** Reads from each side if the other takes more and the direction is not cut. */
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
