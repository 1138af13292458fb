package org.galenapost.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import org.galenapost.core.configuration.ConfigurationCatalog;
import org.galenapost.core.configuration.ConfigurationFollower;
import org.galenapost.core.configuration.ConfigurationState;
import org.galenapost.core.configuration.ConfigurationWriter;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DrainControlTest {

  private static final ObjectKey KEY = new ObjectKey("server", "s1");
  private static final String LIVE =
      "{\"ip\":\"127.0.0.1\",\"port\":1,\"kind\":\"engine\",\"data_centre\":\"dc1\","
          + "\"models\":[\"m1\"],\"state\":\"live\",\"checks_fencing\":true}";

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
  private Daemon first;
  private Daemon second;

  @BeforeEach
  void startDaemons() {
    platform.newClient().put(KEY, 0, LIVE);
    first = new Daemon("d1");
    second = new Daemon("d2");
    time.advance(Duration.ofMillis(100));
  }

  @Test
  void appliesOrderOnEveryDaemonWithinTwoSecondsWhilePlatformIsDown() {
    // GIVEN an outage
    setDown(true);

    // WHEN an operator drains a server
    DrainOutcome outcome = first.change(ServerState.LEAVING);
    time.advance(Duration.ofSeconds(2));

    // THEN both daemons mark it as leaving, and so does one that starts during the outage
    assertThat(outcome).isInstanceOf(DrainOutcome.PendingWrite.class);
    assertThat(first.stateOfServer()).isEqualTo(ServerState.LEAVING);
    assertThat(second.stateOfServer()).isEqualTo(ServerState.LEAVING);
    Daemon late = new Daemon("d3");
    late.client.setDown(true);
    time.advance(Duration.ofSeconds(5));
    assertThat(late.stateOfServer()).isEqualTo(ServerState.LEAVING);
  }

  @Test
  void writesOrderOfStoppedDaemonOncePlatformReturns() {
    // GIVEN an order issued during an outage on a daemon that then stops
    setDown(true);
    first.change(ServerState.LEAVING);
    time.advance(Duration.ofMillis(10));
    first.stop();

    // WHEN the platform returns
    second.client.setDown(false);
    time.advance(Duration.ofSeconds(10));

    // THEN the other daemon writes the change
    assertThat(platform.read(KEY).orElseThrow().json()).contains("\"state\":\"leaving\"");
    assertThat(second.orders.inForce()).isEmpty();
    assertThat(second.stateOfServer()).isEqualTo(ServerState.LEAVING);
  }

  @Test
  void neverRevertsChangeAcceptedInTheMeantime() {
    // GIVEN an order of a daemon that cannot reach the platform
    setDown(true);
    first.change(ServerState.LEAVING);
    time.advance(Duration.ofMillis(10));

    // WHEN another operator's change is accepted in the meantime
    String otherChange = LIVE.replace("\"port\":1", "\"port\":2");
    platform.newClient().put(KEY, 1, otherChange);
    setDown(false);
    time.advance(Duration.ofSeconds(20));

    // THEN that change remains, and the order is no longer in force on any daemon
    assertThat(platform.read(KEY).orElseThrow().json()).isEqualTo(otherChange);
    assertThat(List.of(first, second))
        .allSatisfy(daemon -> assertThat(daemon.stateOfServer()).isEqualTo(ServerState.LIVE));
  }

  @Test
  void acceptsChangeAtOnceWhenPlatformAnswers() {
    // GIVEN a platform that answers WHEN a server is drained and returned to service
    DrainOutcome drained = first.change(ServerState.LEAVING);
    time.advance(Duration.ofMillis(200));
    ServerState between = second.stateOfServer();
    DrainOutcome returned = first.change(ServerState.LIVE);
    time.advance(Duration.ofMillis(200));

    // THEN both changes are accepted and in force
    assertThat(List.of(drained, returned)).hasOnlyElementsOfType(DrainOutcome.Accepted.class);
    assertThat(between).isEqualTo(ServerState.LEAVING);
    assertThat(second.stateOfServer()).isEqualTo(ServerState.LIVE);
  }

  private void setDown(boolean isDown) {
    first.client.setDown(isDown);
    second.client.setDown(isDown);
  }

  private final class Daemon {
    final FakePlatform.Client client = platform.newClient();
    final ConfigurationState state = new ConfigurationState();
    final ConfigurationCatalog catalog = new ConfigurationCatalog(state, (record, faults) -> {});
    final DrainOrders orders = new DrainOrders(state);
    final ConfigurationFollower follower;
    final DrainControl control;

    Daemon(String id) {
      Random random = new Random(id.hashCode());
      PeerBus bus = network.join(id);
      follower =
          new ConfigurationFollower(
              state, client, bus, time, random::nextDouble, Duration.ofSeconds(20));
      ConfigurationWriter writer = new ConfigurationWriter(client, state::merge);
      DrainNoticeSender noticeSender = DrainNoticeSender.overPeers(bus, random::nextDouble);
      control =
          new DrainControl(id, state, writer, orders, noticeSender, time, random::nextDouble, time);
      bus.onMessage(DrainNotice.class, (sender, notice) -> control.applyNotice(notice));
      follower.start();
      control.start();
    }

    DrainOutcome change(ServerState requested) {
      return control.changeState("s1", requested).toCompletableFuture().join();
    }

    ServerState stateOfServer() {
      Collection<BackendServer> servers = orders.applyTo(catalog.servers());
      return servers.iterator().next().state();
    }

    void stop() {
      follower.stop();
      control.stop();
    }
  }
}
