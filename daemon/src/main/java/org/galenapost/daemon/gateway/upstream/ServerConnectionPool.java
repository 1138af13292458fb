package org.galenapost.daemon.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.net.BrokenConnectionGuard;
import org.galenapost.daemon.net.ClientSockets;
import org.galenapost.daemon.net.HeadAccount;
import org.galenapost.daemon.net.HeadBudget;
import org.galenapost.daemon.net.KeepAliveProbes;
import org.galenapost.daemon.net.StrictClientCodec;
import org.galenapost.daemon.service.Service;

/**
 * Sends calls over pooled connections. Connections of servers that stutter are not kept. Must be
 * used on one event loop.
 */
public final class ServerConnectionPool implements Service {

  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(1);
  private static final Duration NO_IDLE_LIMIT = Duration.ofDays(1);

  /**
   * Longest idle time of a connection that is reused for a call that must not be retried, since the
   * server may just have closed the connection.
   */
  private static final Duration MAX_IDLE_WITHOUT_RETRY = Duration.ofMillis(500);

  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MIN_READ_BYTES = 64;
  private static final int FIRST_READ_BYTES = 2 * 1024;
  private static final int MAX_READ_BYTES = 16 * 1024;
  private final EventLoop loop;
  private final CallFormat format;
  private final MonotonicClock clock;
  private final ServerAddresses addresses;
  private final HeadBudget heads;
  private final Bootstrap bootstrap;
  private final Map<InstanceKey, Deque<ServerConnection>> idleConnections = new HashMap<>();
  private final StutteringServers stutteringServers;
  private long openedConnectionCount;

  /**
   * Creates a pool without connections.
   *
   * @param loop the event loop of all connections
   * @param format reads the heads of responses
   * @param clock measures idle times
   * @param connectTimeout the longest time to open a connection
   * @param addresses the address of each server
   * @param heads the room of the heads of all messages
   */
  public ServerConnectionPool(
      EventLoop loop,
      CallFormat format,
      MonotonicClock clock,
      Duration connectTimeout,
      ServerAddresses addresses,
      HeadBudget heads) {
    this.heads = heads;
    this.loop = loop;
    this.format = format;
    this.clock = clock;
    this.addresses = addresses;
    this.stutteringServers = new StutteringServers(clock);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
            .option(ChannelOption.SO_SNDBUF, ClientSockets.SEND_BUFFER_BYTES)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, shortReads());
    KeepAliveProbes.set(bootstrap::option);
  }

  /**
   * Returns an allocator that reads little of one connection in each pass of the event loop, since
   * 16 KiB may hold thousands of events or chunks, and other connections wait for their turn.
   */
  private static RecvByteBufAllocator shortReads() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
        .maxMessagesPerRead(1);
  }

  @Override
  public String name() {
    return "server-pool";
  }

  @Override
  public void start() {
    long periodMs = SWEEP_PERIOD.toMillis();
    loop.scheduleWithFixedDelay(this::removeUnusable, periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    loop.submit(
            () -> idleConnections.values().forEach(pool -> pool.forEach(ServerConnection::close)))
        .awaitUninterruptibly();
  }

  /** Returns the number of connections opened so far. */
  public long openedConnectionCount() {
    return openedConnectionCount;
  }

  /** Returns how often a server has sent bytes that belong to no call or are no answer to it. */
  public long serverFaultCount() {
    return stutteringServers.faultCount();
  }

  /**
   * Sends a call.
   *
   * @param instance the server
   * @param call the call, which goes on no connection that has carried it before
   * @param request the request, which the pool releases
   * @param listener receives the response
   * @return a handle to the send
   */
  public ServerCall send(
      ServerInstance instance,
      OutgoingCall call,
      FullHttpRequest request,
      ResponseListener listener) {
    PendingSend send = new PendingSend(instance, call, request, listener);
    if (idleConnections.containsKey(instance.key())) {
      // Begins after the next reads, so that bytes that have arrived on an idle connection close
      // it. What a task schedules runs in the next pass of the event loop.
      loop.execute(() -> loop.schedule(send::begin, 0, TimeUnit.NANOSECONDS));
    } else {
      send.begin();
    }
    return send;
  }

  /** Returns the connection that was used last, or null if there is none for the call. */
  private ServerConnection takeIdle(InstanceKey instance, OutgoingCall call) {
    Duration maxIdle = call.isRetryable() ? NO_IDLE_LIMIT : MAX_IDLE_WITHOUT_RETRY;
    Iterator<ServerConnection> lastUsedFirst =
        idleConnections.getOrDefault(instance, new ArrayDeque<>()).descendingIterator();
    while (lastUsedFirst.hasNext()) {
      ServerConnection connection = lastUsedFirst.next();
      boolean isUsable = connection.isOpen() && connection.isIdleWithin(clock.nanos(), maxIdle);
      if (isUsable && call.hasUsed(connection.number())) {
        continue;
      }
      lastUsedFirst.remove();
      if (isUsable) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  private static ChannelInitializer<Channel> initializer(
      StrictClientCodec codec, HeadAccount account, ServerConnection connection) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        connection.attach(channel);
        channel.closeFuture().addListener(closed -> account.close());
        channel.pipeline().addLast(codec, connection);
        BrokenConnectionGuard.addTo(channel);
      }
    };
  }

  private void stopKeepingConnections(InstanceKey server) {
    stutteringServers.recordFault(server);
    Deque<ServerConnection> idle = idleConnections.remove(server);
    if (idle != null) {
      idle.forEach(ServerConnection::close);
    }
  }

  private static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_HEADER_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES);
  }

  private void returnToPool(ServerConnection connection, HeadAccount account) {
    account.releaseAll();
    if (stutteringServers.contains(connection.instance())) {
      connection.close();
      return;
    }
    connection.markIdleSince(clock.nanos());
    idleConnections
        .computeIfAbsent(connection.instance(), key -> new ArrayDeque<>())
        .addLast(connection);
  }

  private void removeUnusable() {
    stutteringServers.removeExpired();
    Iterator<Deque<ServerConnection>> pools = idleConnections.values().iterator();
    while (pools.hasNext()) {
      Deque<ServerConnection> pool = pools.next();
      pool.removeIf(this::closeIfUnusable);
      if (pool.isEmpty()) {
        pools.remove();
      }
    }
  }

  private boolean closeIfUnusable(ServerConnection connection) {
    boolean isUsable = connection.isOpen() && connection.isIdleWithin(clock.nanos(), NO_IDLE_LIMIT);
    if (!isUsable) {
      connection.close();
    }
    return !isUsable;
  }

  /** A send whose connection may not be chosen or open yet. */
  private final class PendingSend implements ServerCall {

    private final ServerInstance instance;
    private final OutgoingCall call;
    private final FullHttpRequest request;
    private final ResponseListener listener;
    private Optional<ServerConnection> connection = Optional.empty();
    private Optional<Channel> connecting = Optional.empty();
    private boolean isSent;
    private boolean isCancelled;

    PendingSend(
        ServerInstance instance,
        OutgoingCall call,
        FullHttpRequest request,
        ResponseListener listener) {
      this.instance = instance;
      this.call = call;
      this.request = request;
      this.listener = listener;
    }

    void begin() {
      if (isCancelled) {
        ReferenceCountUtil.release(request);
        return;
      }
      // A late answer to HEAD, or one before it, has an end that the codec cannot tell.
      boolean isHead = HttpMethod.HEAD.equals(request.method());
      ServerConnection idle = isHead ? null : takeIdle(instance.key(), call);
      if (idle == null) {
        connect();
      } else {
        sendOn(idle);
      }
    }

    private void connect() {
      openedConnectionCount++;
      HeadAccount account =
          new HeadAccount(heads, () -> connecting.ifPresent(channel -> closeLater(channel)));
      StrictClientCodec codec = new StrictClientCodec(decoderConfig(), account);
      ServerConnection opened =
          new ServerConnection(
              openedConnectionCount,
              instance.key(),
              format,
              codec,
              connection -> returnToPool(connection, account),
              ServerConnectionPool.this::stopKeepingConnections);
      ChannelFuture connected =
          bootstrap
              .clone()
              .handler(initializer(codec, account, opened))
              .connect(addresses.of(instance));
      connection = Optional.of(opened);
      connecting = Optional.of(connected.channel());
      // Sends in a task of its own, so that a caller's close that is read in the same pass of the
      // event loop cancels the call first.
      connected.addListener((ChannelFuture done) -> loop.execute(() -> onConnected(done, opened)));
    }

    private void closeLater(Channel channel) {
      loop.execute(channel::close);
    }

    private void onConnected(ChannelFuture connected, ServerConnection opened) {
      if (isCancelled) {
        ReferenceCountUtil.release(request);
        connected.channel().close();
      } else if (!connected.isSuccess()) {
        ReferenceCountUtil.release(request);
        listener.onFailure(SendFailure.unreachable(connected.cause()));
      } else if (!connected.channel().isActive()) {
        ReferenceCountUtil.release(request);
        listener.onFailure(SendFailure.unreachable(new ClosedChannelException()));
      } else {
        sendOn(opened);
      }
    }

    private void sendOn(ServerConnection open) {
      connection = Optional.of(open);
      isSent = true;
      open.send(call, request, listener);
    }

    @Override
    public void cancel() {
      isCancelled = true;
      if (isSent) {
        connection.ifPresent(ServerConnection::cancel);
      } else {
        connecting.ifPresent(Channel::close);
      }
    }

    @Override
    public boolean wasSent() {
      return isSent;
    }

    @Override
    public ConnectionTrace trace() {
      return connection.map(ServerConnection::trace).orElse(ConnectionTrace.NONE);
    }

    @Override
    public void setReading(boolean isReading) {
      connection.ifPresent(current -> current.setReading(isReading));
    }
  }
}
