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
import org.galenapost.daemon.net.KeepAliveProbes;
import org.galenapost.daemon.peer.HandshakeAuthenticator.Role;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceStartException;
import org.galenapost.daemon.settings.PeerSettings;
import org.galenapost.daemon.settings.SocketAddressSetting;

/**
 * Carries messages between daemons over TCP. Each daemon sends over its own connections and only
 * receives over those that others opened, so that a cut in one direction stays visible as such.
 */
public final class TcpPeerBus implements PeerBus, Service {

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final WriteBufferWaterMark WRITE_BUFFER_BYTES =
      new WriteBufferWaterMark(1024 * 1024, 4 * 1024 * 1024);

  private final String ownId;
  private final PeerSettings settings;
  private final EventLoopGroup eventLoops;
  private final HandshakeAuthenticator authenticator;
  private final MessageDispatcher dispatcher = new MessageDispatcher();
  private final TrafficMeter traffic = new TrafficMeter();
  private final Map<String, PeerAddress> addresses = new ConcurrentHashMap<>();
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile Supplier<Set<String>> livePeerSource;
  private volatile List<SocketAddressSetting> seeds;
  private volatile Channel listener;

  /** Creates a bus that knows no daemon but its seeds. */
  public TcpPeerBus(String ownId, PeerSettings settings, EventLoopGroup eventLoops) {
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
            .childHandler(initializer(Role.LISTENER, channel -> hello -> {}))
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

  /** Returns where this daemon listens, with the port that the system chose if none was set. */
  public PeerAddress ownAddress() {
    Channel bound = listener;
    int port =
        bound == null
            ? settings.address().port()
            : ((InetSocketAddress) bound.localAddress()).getPort();
    return new PeerAddress(settings.address().ip(), port);
  }

  /** Returns the count of bytes between daemons. */
  public TrafficMeter traffic() {
    return traffic;
  }

  /** Lets membership say which daemons are alive; until then it is every known daemon. */
  public void setLivePeerSource(Supplier<Set<String>> source) {
    livePeerSource = source;
  }

  /** Replaces the addresses of daemons to meet first. */
  public void setSeeds(List<SocketAddressSetting> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /** Learns where a daemon listens. */
  public void updateAddress(String daemonId, PeerAddress address) {
    if (!daemonId.equals(ownId)) {
      PeerAddress before = addresses.put(daemonId, address);
      if (before != null && !before.equals(address)) {
        Optional.ofNullable(links.remove(daemonId)).ifPresent(PeerLink::close);
      }
    }
  }

  /** Returns where a daemon listens, if known. */
  public Optional<PeerAddress> addressOf(String daemonId) {
    return daemonId.equals(ownId)
        ? Optional.of(ownAddress())
        : Optional.ofNullable(addresses.get(daemonId));
  }

  /** Returns where each known daemon listens. */
  public Map<String, PeerAddress> knownAddresses() {
    return Map.copyOf(addresses);
  }

  /** Forgets a daemon that is gone. */
  public void removePeer(String daemonId) {
    addresses.remove(daemonId);
    Optional.ofNullable(links.remove(daemonId)).ifPresent(PeerLink::close);
  }

  /** Connects to each seed once, to learn which daemon listens there. */
  public void connectToSeeds() {
    for (SocketAddressSetting seed : seeds) {
      PeerAddress address = new PeerAddress(seed.ip(), seed.port());
      if (!addresses.containsValue(address) && !address.equals(ownAddress())) {
        connect(address, channel -> hello -> channel.close(), () -> {});
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
      connect(address, channel -> hello -> onConnected(daemonId, link, channel, hello), link::onDisconnected);
    }
  }

  @Override
  public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {
    dispatcher.add(type, handler);
  }

  private void onConnected(String daemonId, PeerLink link, Channel channel, Handshake.Challenge hello) {
    if (!hello.daemonId().equals(daemonId)) {
      addresses.remove(daemonId);
      link.onDisconnected();
      channel.close();
      return;
    }
    link.onConnected(channel);
  }

  private void connect(PeerAddress address, AuthenticationListener onProved, Runnable onFailure) {
    Bootstrap bootstrap = new Bootstrap();
    KeepAliveProbes.set(bootstrap::option);
    bootstrap
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
        .handler(initializer(Role.DIALER, onProved))
        .connect(address.toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connected.channel().closeFuture().addListener(closed -> onFailure.run());
              } else {
                onFailure.run();
              }
            });
  }

  private ChannelInitializer<SocketChannel> initializer(Role role, AuthenticationListener onProved) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channels.add(channel);
        Session session = new Session();
        Consumer<Handshake.Challenge> whenProved =
            hello -> {
              session.peerId = hello.daemonId();
              updateAddress(hello.daemonId(), new PeerAddress(hello.ip(), hello.port()));
              onProved.of(channel).accept(hello);
            };
        HandshakeHandler hello = new HandshakeHandler(authenticator, role, newOwnChallenge(), whenProved);
        PeerPipeline.build(
            channel.pipeline(),
            traffic,
            hello,
            message -> dispatcher.dispatch(session.peerId, message));
      }
    };
  }

  private Handshake.Challenge newOwnChallenge() {
    PeerAddress own = ownAddress();
    return new Handshake.Challenge(ownId, own.ip(), own.port(), authenticator.newChallenge());
  }

  /** Makes the listener of a connection's proof. */
  @FunctionalInterface
  private interface AuthenticationListener {
    Consumer<Handshake.Challenge> of(Channel channel);
  }

  /** What is known of one connection's other side; touched by its event loop alone. */
  private static final class Session {
    private String peerId = "";
  }
}
