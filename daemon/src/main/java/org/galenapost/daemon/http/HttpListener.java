package org.galenapost.daemon.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceStartException;

/** Accepts connections on one address. */
public final class HttpListener implements Service {

  private static final int ACCEPT_BACKLOG = 1_024;

  private final String role;
  private final InetSocketAddress address;
  private final ServerBootstrap bootstrap;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Optional<ServerSocketChannel> socket;
  private volatile Channel server;

  /**
   * Creates a listener; it binds on start.
   *
   * @param role the name used in logs, such as {@code caller}
   * @param address the address to bind; port 0 lets the system choose
   * @param eventLoops the threads that serve it
   * @param writeBufferBytes the unsent bytes from which a connection counts as blocked
   * @param pipeline sets up each connection
   */
  public HttpListener(
      String role,
      InetSocketAddress address,
      EventLoopGroup eventLoops,
      int writeBufferBytes,
      PipelineSetup pipeline) {
    this(role, address, Optional.empty(), eventLoops, writeBufferBytes, pipeline);
  }

  /**
   * Creates a listener that takes an open socket over; connections wait there until it starts.
   *
   * @param role the name used in logs, such as {@code caller}
   * @param address the address to bind; port 0 lets the system choose
   * @param socket a socket that is bound already, in place of the address
   * @param eventLoops the threads that serve it
   * @param writeBufferBytes the unsent bytes from which a connection counts as blocked
   * @param pipeline sets up each connection
   */
  public HttpListener(
      String role,
      InetSocketAddress address,
      Optional<ServerSocketChannel> socket,
      EventLoopGroup eventLoops,
      int writeBufferBytes,
      PipelineSetup pipeline) {
    this.role = role;
    this.address = address;
    this.socket = socket;
    this.bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(writeBufferBytes / 2, writeBufferBytes))
            .childHandler(childInitializer(pipeline));
  }

  private ChannelInitializer<Channel> childInitializer(PipelineSetup pipeline) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        connections.add(channel);
        pipeline.setUp(channel.pipeline());
      }
    };
  }

  @Override
  public String name() {
    return role + "-listener";
  }

  @Override
  public void start() {
    try {
      server = bindOrRegister().syncUninterruptibly().channel();
    } catch (Exception e) {
      throw ServiceStartException.cannotListen(role, address, e);
    }
  }

  /**
   * Starts a listener with an open socket from an event loop, which must not wait for itself.
   *
   * @throws IllegalStateException if there is no open socket
   */
  public void startWithoutWaiting() {
    if (socket.isEmpty()) {
      throw new IllegalStateException("only a listener with an open socket may start later");
    }
    server = bindOrRegister().channel();
  }

  private ChannelFuture bindOrRegister() {
    if (socket.isPresent()) {
      return bootstrap.channelFactory(() -> new NioServerSocketChannel(socket.get())).register();
    }
    return bootstrap.channel(NioServerSocketChannel.class).bind(address);
  }

  /** Returns the port in use. */
  public int port() {
    return socket.isPresent()
        ? socket.get().socket().getLocalPort()
        : ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Stops accepting connections; those that are open stay. */
  public void stopAccepting() {
    Channel bound = server;
    if (bound != null) {
      bound.close().awaitUninterruptibly();
    } else {
      socket.ifPresent(HttpListener::close);
    }
  }

  private static void close(ServerSocketChannel socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException("a listening socket did not close", e);
    }
  }

  @Override
  public void stop() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }
}
