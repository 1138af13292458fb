package org.galenapost.standins.balancer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.TreeSet;
import org.galenapost.standins.TestHttpClient;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.Routes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BalancerStandinTest {

  private final Daemon first = new Daemon("first");
  private final Daemon second = new Daemon("second");
  private BalancerStandin balancer;
  private TestHttpClient control;

  @BeforeEach
  void start() {
    balancer = new BalancerStandin(0, 0, List.of(first.target(), second.target()));
    balancer.start();
    control = new TestHttpClient(balancer.controlPort().orElseThrow());
  }

  @AfterEach
  void stop() {
    balancer.stop();
    first.server.stop();
    second.server.stop();
  }

  @Test
  void spreadsConnectionsOverReadyTargets() {
    // GIVEN
    await().until(() -> readyCount() == 2);

    // WHEN
    TreeSet<String> names = new TreeSet<>(List.of(newConnection(), newConnection()));

    // THEN
    assertThat(names).containsExactly("first", "second");
  }

  @Test
  void keepsAnOpenConnectionToATargetThatIsNoLongerReady() {
    // GIVEN
    await().until(() -> readyCount() == 2);
    TestHttpClient open = new TestHttpClient(balancer.port());
    String name = open.call("GET", "/name", "").body();
    Daemon leaving = name.equals("first") ? first : second;

    // WHEN
    leaving.isReady = false;
    await().until(() -> readyCount() == 1);

    // THEN
    assertThat(open.call("GET", "/name", "").body()).isEqualTo(name);
    assertThat(List.of(newConnection(), newConnection())).doesNotContain(name);
  }

  private String newConnection() {
    return new TestHttpClient(balancer.port()).call("GET", "/name", "").body();
  }

  private int readyCount() {
    String targets = control.call("GET", "/standin/targets", "").body();
    return targets.split("\"ready\":true", -1).length - 1;
  }

  private static final class Daemon {

    private final HttpServer server = HttpServer.onPort(0);
    private volatile boolean isReady = true;

    private Daemon(String name) {
      server.start(
          Routes.create()
              .on(HttpMethod.GET, "/name", e -> e.reply(200, "text/plain", name))
              .on(HttpMethod.GET, "/readyz", e -> e.reply(isReady ? 200 : 503, "text/plain", "")));
    }

    private BalancedTarget target() {
      return BalancedTarget.parse("127.0.0.1:%d@%d".formatted(server.port(), server.port()));
    }
  }
}
