package org.galenapost.standins.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.galenapost.standins.http.HttpServer;

/** Listens on a loopback port and relays each connection to a target. */
public final class RelayServer {

  private final EventLoopGroup group;
  private final TargetSelector targets;
  private final Impairments impairments;
  private final Set<Relay> relays = new LinkedHashSet<>();
  private Channel listener;

  /**
   * Creates a relay server.
   *
   * @param group an event loop group of one event loop
   * @param targets selects the target of each connection
   * @param impairments the network faults of all connections
   */
  public RelayServer(EventLoopGroup group, TargetSelector targets, Impairments impairments) {
    this.group = group;
    this.targets = targets;
    this.impairments = impairments;
  }

  /** Starts listening on the given port, or on a free port if it is 0. */
  public void start(int port) {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                })
            .bind(HttpServer.LOOPBACK_IP, port)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the port on which the relay listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return relays.size();
  }

  /**
   * Applies changed impairments to all connections and connects those held back so far. Must be
   * called on the event loop.
   */
  public void applyImpairments() {
    List<Relay> open = List.copyOf(relays);
    for (Relay relay : open) {
      if (relay.isConnected()) {
        relay.updateAutoRead();
      } else {
        connect(relay);
      }
    }
  }

  /** Resets all connections. Must be called on the event loop. */
  public void resetAll() {
    List.copyOf(relays).forEach(Relay::reset);
  }

  /** Resets the connections that lost bytes. Must be called on the event loop. */
  public void resetConnectionsWithLostBytes() {
    List.copyOf(relays).stream().filter(Relay::hasLostBytes).forEach(Relay::reset);
  }

  /** Stops listening; open connections stay open. */
  public void stop() {
    listener.close().syncUninterruptibly();
  }

  private void accept(SocketChannel client) {
    Relay relay = new Relay(client, impairments);
    relays.add(relay);
    client.closeFuture().addListener(closed -> relays.remove(relay));
    connect(relay);
  }

  private void connect(Relay relay) {
    boolean isBlocked =
        impairments.isBlocked(Direction.TO_TARGET) || impairments.isBlocked(Direction.FROM_TARGET);
    if (!isBlocked && relay.tryStart()) {
      tryNext(relay, targets.candidates().iterator());
    }
  }

  private void tryNext(Relay relay, Iterator<InetSocketAddress> candidates) {
    if (!candidates.hasNext()) {
      relay.reset();
      return;
    }
    ChannelFuture connected = relay.connect(candidates.next());
    connected.addListener(
        future -> {
          if (!future.isSuccess()) {
            tryNext(relay, candidates);
          } else if (relay.client().isActive()) {
            relay.forwardTo(connected.channel());
          } else {
            connected.channel().close();
          }
        });
  }
}
