package org.galenapost.daemon.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceStartException;

/** Accepts HTTP connections on one address. */
public final class HttpListener implements Service {

  private static final int ACCEPT_BACKLOG = 1_024;

  /** Gives the event loop the time for one select call. */
  private static final Duration ACCEPT_PASS = Duration.ofMillis(10);

  private static final int IDLE_ACCEPT_PASSES = 2;

  /** Bounds the wait to half a second if connections keep arriving. */
  private static final int MAX_ACCEPT_PASSES = 50;

  private final String role;
  private final InetSocketAddress address;
  private final ServerBootstrap bootstrap;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Optional<ServerSocketChannel> socket;
  private final AtomicLong acceptedCount = new AtomicLong();
  private volatile Channel server;

  /**
   * Creates a listener that binds its address on start.
   *
   * @param role the name used in logs, such as {@code caller}
   * @param address the address to bind; port 0 lets the system choose
   * @param eventLoops the event loops that serve the connections
   * @param writeBufferBytes the number of unsent bytes above which a connection counts as blocked
   * @param pipeline adds the handlers of each connection
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
   * Creates a listener on an already bound socket, if one is given. Connections wait in the backlog
   * of the socket until the listener starts.
   *
   * @param role the name used in logs, such as {@code caller}
   * @param address the address to bind; port 0 lets the system choose
   * @param socket the bound socket; if empty, the listener binds the address on start
   * @param eventLoops the event loops that serve the connections
   * @param writeBufferBytes the number of unsent bytes above which a connection counts as blocked
   * @param pipeline adds the handlers of each connection
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
        acceptedCount.incrementAndGet();
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
   * Starts a listener on its bound socket without waiting for completion. It may be called on an
   * event loop, where waiting would deadlock.
   *
   * @throws IllegalStateException if the listener was created without a bound socket
   */
  public void startWithoutWaiting() {
    if (socket.isEmpty()) {
      throw new IllegalStateException(
          "only a listener with a bound socket can start without waiting");
    }
    server = bindOrRegister().channel();
  }

  private ChannelFuture bindOrRegister() {
    if (socket.isPresent()) {
      return bootstrap.channelFactory(() -> new NioServerSocketChannel(socket.get())).register();
    }
    return bootstrap.channel(NioServerSocketChannel.class).bind(address);
  }

  /** Returns the TCP port on which the listener accepts connections. */
  public int port() {
    return socket.isPresent()
        ? socket.get().socket().getLocalPort()
        : ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /**
   * Stops accepting connections. Open connections stay open. Connections that already wait to be
   * accepted are accepted first, since closing the socket would reset them.
   */
  public void stopAccepting() {
    Channel bound = server;
    if (bound != null) {
      if (bound.isActive()) {
        acceptWaitingConnections(bound.eventLoop());
      }
      bound.close().awaitUninterruptibly();
    } else {
      socket.ifPresent(HttpListener::close);
    }
  }

  /** Waits until the event loop has accepted no connection in several passes. */
  private void acceptWaitingConnections(EventLoop eventLoop) {
    int idlePasses = 0;
    for (int pass = 0; pass < MAX_ACCEPT_PASSES && idlePasses < IDLE_ACCEPT_PASSES; pass++) {
      long acceptedBefore = acceptedCount.get();
      eventLoop
          .schedule(() -> {}, ACCEPT_PASS.toMillis(), TimeUnit.MILLISECONDS)
          .awaitUninterruptibly();
      idlePasses = acceptedCount.get() == acceptedBefore ? idlePasses + 1 : 0;
    }
  }

  private static void close(ServerSocketChannel socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot close the listening socket", e);
    }
  }

  @Override
  public void stop() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }
}
