package org.galenapost.daemon.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;

/**
 * Checks with a new connection whether a server's host still accepts connections. A second
 * connection is opened while the first one is pending, since a single lost packet delays a
 * connection by one second. Concurrent probes of one server are shared. Must be used on one event
 * loop.
 */
public final class ConnectProbes {

  private static final Duration SECOND_ATTEMPT_DELAY = Duration.ofMillis(60);
  private static final Duration TIMEOUT = Duration.ofMillis(150);

  private final EventLoop loop;
  private final ServerAddresses addresses;
  private final Bootstrap bootstrap;
  private final Map<InstanceKey, Probe> probes = new HashMap<>();

  /** Creates probes on an event loop that connect to the given address of each server. */
  public ConnectProbes(EventLoop loop, ServerAddresses addresses) {
    this.loop = loop;
    this.addresses = addresses;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TIMEOUT.toMillis())
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {}
                });
  }

  /**
   * Probes a server.
   *
   * @param instance the server
   * @param onResult receives whether the server's host accepted a connection
   */
  public void probe(ServerInstance instance, Consumer<Boolean> onResult) {
    Probe pending = probes.get(instance.key());
    if (pending != null) {
      pending.listeners.add(onResult);
      return;
    }
    Probe probe = new Probe(instance);
    probe.listeners.add(onResult);
    probes.put(instance.key(), probe);
    probe.connect();
    loop.schedule(probe::connect, SECOND_ATTEMPT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    loop.schedule(() -> probe.finish(false), TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private final class Probe {

    private final ServerInstance instance;
    private final List<Consumer<Boolean>> listeners = new ArrayList<>();
    private boolean isFinished;

    Probe(ServerInstance instance) {
      this.instance = instance;
    }

    void connect() {
      if (isFinished) {
        return;
      }
      bootstrap
          .connect(addresses.of(instance))
          .addListener(
              (ChannelFuture done) -> {
                done.channel().close();
                finish(done.isSuccess());
              });
    }

    void finish(boolean isAccepted) {
      if (!isFinished) {
        isFinished = true;
        probes.remove(instance.key());
        listeners.forEach(listener -> listener.accept(isAccepted));
      }
    }
  }
}
