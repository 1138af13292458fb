package org.galenapost.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.daemon.net.DescriptorLimit;
import org.galenapost.daemon.net.KeepAliveProbes;
import org.galenapost.daemon.peer.HandshakeAuthenticator.Role;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceStartException;
import org.galenapost.daemon.settings.PeerSettings;
import org.galenapost.daemon.settings.SocketAddressSetting;

/**
 * Exchanges messages between daemons over TCP. A daemon sends only over connections that it opened
 * and receives only over connections that its peers opened, so that a one-way network partition
 * affects one direction only and can be detected.
 */
public final class TcpPeerBus implements PeerBus, Service {

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final WriteBufferWaterMark WRITE_BUFFER_BYTES =
      new WriteBufferWaterMark(1024 * 1024, 4 * 1024 * 1024);

  private final String ownId;
  private final PeerSettings settings;
  private final EventLoopGroup eventLoops;
  private final HandshakeAuthenticator authenticator;
  private final PendingHandshakes handshakes;
  private final MessageDispatcher dispatcher = new MessageDispatcher();
  private final TrafficMeter traffic = new TrafficMeter();
  private final Map<String, PeerAddress> addresses = new ConcurrentHashMap<>();
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile Supplier<Set<String>> livePeerSource;
  private volatile List<SocketAddressSetting> seeds;
  private volatile Channel listener;

  /** Creates a bus that initially knows the addresses of the seeds only. */
  public TcpPeerBus(String ownId, PeerSettings settings, EventLoopGroup eventLoops) {
    this.handshakes = new PendingHandshakes(DescriptorLimit.ofProcess().maxHandshakes());
    this.ownId = ownId;
    this.settings = settings;
    this.eventLoops = eventLoops;
    this.seeds = settings.seeds();
    this.authenticator = new HandshakeAuthenticator(settings.secret());
    this.livePeerSource = () -> Set.copyOf(addresses.keySet());
  }

  @Override
  public String name() {
    return "peer-bus";
  }

  @Override
  public void start() {
    InetSocketAddress address = settings.address().toSocketAddress();
    ChannelFuture bound =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(Role.LISTENER, this::acceptAuthenticated))
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw ServiceStartException.cannotListen("daemons", address, bound.cause());
    }
    listener = bound.channel();
  }

  @Override
  public void stop() {
    if (listener != null) {
      listener.close().awaitUninterruptibly();
    }
    links.values().forEach(PeerLink::close);
    channels.close().awaitUninterruptibly();
  }

  /** Returns the address on which this daemon listens, with the actual port if 0 was set. */
  public PeerAddress ownAddress() {
    Channel bound = listener;
    int port =
        bound == null
            ? settings.address().port()
            : ((InetSocketAddress) bound.localAddress()).getPort();
    return new PeerAddress(settings.address().ip(), port);
  }

  /** Returns the byte counts of all connections between daemons. */
  public TrafficMeter traffic() {
    return traffic;
  }

  /**
   * Sets the source of the ids of live peers.
   *
   * <p>Until it is set, every daemon with a known address counts as live.
   */
  public void setLivePeerSource(Supplier<Set<String>> livePeerSource) {
    this.livePeerSource = livePeerSource;
  }

  /** Replaces the addresses that {@link #connectToSeeds} connects to. */
  public void setSeeds(List<SocketAddressSetting> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /**
   * Sets the address of a daemon and closes the connection to its previous address.
   *
   * @param daemonId the daemon; this daemon's own id is ignored
   * @param address the address on which it listens
   */
  public void updateAddress(String daemonId, PeerAddress address) {
    if (!daemonId.equals(ownId)) {
      PeerAddress previous = addresses.put(daemonId, address);
      if (previous != null && !previous.equals(address)) {
        Optional.ofNullable(links.remove(daemonId)).ifPresent(PeerLink::close);
      }
    }
  }

  /** Returns the address on which a daemon listens, if known. */
  public Optional<PeerAddress> addressOf(String daemonId) {
    return daemonId.equals(ownId)
        ? Optional.of(ownAddress())
        : Optional.ofNullable(addresses.get(daemonId));
  }

  /** Returns the address of each known daemon by the daemon's id. */
  public Map<String, PeerAddress> knownAddresses() {
    return Map.copyOf(addresses);
  }

  /** Removes a daemon's address and closes the connection to it. */
  public void removePeer(String daemonId) {
    addresses.remove(daemonId);
    Optional.ofNullable(links.remove(daemonId)).ifPresent(PeerLink::close);
  }

  /**
   * Connects to each seed whose daemon is not known yet. The handshake provides the daemon's id;
   * the connection is closed after it.
   */
  public void connectToSeeds() {
    for (SocketAddressSetting seed : seeds) {
      PeerAddress address = new PeerAddress(seed.ip(), seed.port());
      if (!addresses.containsValue(address) && !address.equals(ownAddress())) {
        connect(address, channel -> peer -> channel.close(), () -> {});
      }
    }
  }

  @Override
  public Set<String> livePeerIds() {
    return livePeerSource.get();
  }

  @Override
  public void send(String daemonId, PeerMessage message) {
    PeerAddress address = addresses.get(daemonId);
    if (address == null) {
      return;
    }
    PeerLink link = links.computeIfAbsent(daemonId, id -> new PeerLink());
    if (link.offer(message)) {
      connect(
          address,
          channel -> peer -> onConnected(daemonId, link, channel, peer),
          link::onDisconnected);
    }
  }

  @Override
  public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {
    dispatcher.add(type, handler);
  }

  private Consumer<Handshake.Challenge> acceptAuthenticated(Channel channel) {
    return peer -> handshakes.remove(channel);
  }

  private void onConnected(
      String daemonId, PeerLink link, Channel channel, Handshake.Challenge peer) {
    if (!peer.daemonId().equals(daemonId)) {
      addresses.remove(daemonId);
      link.onDisconnected();
      channel.close();
      return;
    }
    link.onConnected(channel);
  }

  private void connect(
      PeerAddress address, AuthenticationListener onAuthenticated, Runnable onDisconnected) {
    Bootstrap bootstrap = new Bootstrap();
    KeepAliveProbes.set(bootstrap::option);
    bootstrap
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
        .handler(initializer(Role.DIALER, onAuthenticated))
        .connect(address.toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connected.channel().closeFuture().addListener(closed -> onDisconnected.run());
              } else {
                onDisconnected.run();
              }
            });
  }

  private ChannelInitializer<SocketChannel> initializer(
      Role role, AuthenticationListener onAuthenticated) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channels.add(channel);
        if (role == Role.LISTENER) {
          handshakes.add(channel);
        }
        Session session = new Session();
        Consumer<Handshake.Challenge> recordPeer =
            peer -> {
              session.peerId = peer.daemonId();
              updateAddress(peer.daemonId(), new PeerAddress(peer.ip(), peer.port()));
              onAuthenticated.of(channel).accept(peer);
            };
        HandshakeHandler handshake =
            new HandshakeHandler(authenticator, role, newOwnChallenge(), recordPeer);
        PeerPipeline.build(
            channel.pipeline(),
            traffic,
            handshake,
            message -> dispatcher.dispatch(session.peerId, message));
      }
    };
  }

  private Handshake.Challenge newOwnChallenge() {
    PeerAddress own = ownAddress();
    return new Handshake.Challenge(ownId, own.ip(), own.port(), authenticator.newChallenge());
  }

  /** Returns the callback that receives the challenge of a channel's authenticated peer. */
  @FunctionalInterface
  private interface AuthenticationListener {
    Consumer<Handshake.Challenge> of(Channel channel);
  }

  /** The peer of one connection. It is accessed only on the event loop of the connection. */
  private static final class Session {
    private String peerId = "";
  }
}
