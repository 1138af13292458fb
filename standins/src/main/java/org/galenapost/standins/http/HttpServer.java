package org.galenapost.standins.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Serves HTTP/1.1 on a loopback port. All request handlers run on one event loop. */
public final class HttpServer {

  /** The address on which every stand-in listens. */
  public static final String LOOPBACK_IP = "127.0.0.1";

  /** Takes the largest head of a caller, which is longer with the headers that a gateway adds. */
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  private static final int MAX_CHUNK_BYTES = 8 * 1024;

  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int BACKLOG_CONNECTIONS = 1024;
  private static final int STOP_TIMEOUT_MS = 2_000;

  private final int requestedPort;
  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;

  private HttpServer(int requestedPort) {
    this.requestedPort = requestedPort;
  }

  /** Returns a server for the given port, or for a free port if it is 0. */
  public static HttpServer onPort(int port) {
    return new HttpServer(port);
  }

  /** Returns the event loop group, which consists of the one event loop. */
  public EventLoopGroup eventLoopGroup() {
    return eventLoopGroup;
  }

  /** Returns the event loop on which all handlers run. */
  public ScheduledExecutorService eventLoop() {
    return eventLoopGroup.next();
  }

  /**
   * Runs an action on the event loop and waits for its result. Must not be called on the event
   * loop.
   */
  public <T> T callOnEventLoop(Callable<T> action) {
    try {
      return eventLoop().submit(action).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  /** Runs an action on the event loop and waits for it. Must not be called on the event loop. */
  public void runOnEventLoop(Runnable action) {
    callOnEventLoop(
        () -> {
          action.run();
          return null;
        });
  }

  /** Starts listening and passes each request to the handler. */
  public void start(RequestHandler handler) {
    ExchangeHandler exchangeHandler = new ExchangeHandler(handler);
    listener =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(pipeline(exchangeHandler))
            .bind(LOOPBACK_IP, requestedPort)
            .syncUninterruptibly()
            .channel();
  }

  private ChannelInitializer<SocketChannel> pipeline(ExchangeHandler exchangeHandler) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        connections.add(channel);
        channel
            .pipeline()
            .addLast(new HttpServerCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES));
        channel.pipeline().addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
        channel.pipeline().addLast(exchangeHandler);
      }
    };
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Closes every open connection without a response. */
  public void closeConnections() {
    connections.close();
  }

  /**
   * Stops listening and then closes every connection, without waiting, as if the process had died:
   * who sees the end of a connection finds that no new one is accepted.
   */
  public void crash() {
    listener.close().addListener(closed -> connections.close());
  }

  /** Stops listening, closes every connection and shuts the event loop down. */
  public void stop() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
    }
    connections.close().awaitUninterruptibly(STOP_TIMEOUT_MS);
    eventLoopGroup.shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
