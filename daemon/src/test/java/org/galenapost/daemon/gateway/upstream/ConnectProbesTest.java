package org.galenapost.daemon.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.daemon.net.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectProbesTest {

  private static final int BACKLOG = 50;

  private final EventLoops loops = new EventLoops(1);
  private final EventLoop loop = loops.group().next();
  private final ConnectProbes probes = new ConnectProbes(loop, ServerAddresses.announced());

  @AfterEach
  void stop() {
    loops.stop();
  }

  /** A probe that fails for a sound server ends the streams that run there. */
  @Test
  void soundServerIsReachedByEveryProbe() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))) {
      for (int probe = 0; probe < 6; probe++) {
        assertThat(isReachable(socket.getLocalPort())).as("probe %d", probe).isTrue();
      }
    }
  }

  @Test
  void serverThatEndedIsNotReached() throws IOException {
    int port;
    try (ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))) {
      port = socket.getLocalPort();
    }

    assertThat(isReachable(port)).isFalse();
  }

  private boolean isReachable(int port) {
    ServerInstance instance =
        new ServerInstance("i-1", 1, 0, "pool", "127.0.0.1", port, "z1", 6, false, "v1");
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    loop.execute(() -> probes.probe(instance, result::complete));
    return result.orTimeout(5, TimeUnit.SECONDS).join();
  }
}
