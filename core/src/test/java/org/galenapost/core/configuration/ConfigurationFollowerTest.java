package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class ConfigurationFollowerTest {

  private static final ConfigurationKind KIND = ConfigurationKind.MODEL;
  private static final ObjectKey KEY = new ObjectKey(KIND.wireName(), "m1");

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
  private final FakePlatform.Client operator = platform.newClient();

  @Test
  void startsFromHighestPeerRevisionWhenPlatformIsDown() {
    // GIVEN a peer that stopped at revision 1, one at revision 2, and then an outage
    operator.put(KEY, 0, "{\"a\":1}");
    Daemon lagging = new Daemon("d1");
    lagging.start();
    lagging.client.setDown(true);
    network.cut("d2", "d1");
    operator.put(KEY, 1, "{\"a\":2}");
    Daemon current = new Daemon("d2");
    current.start();
    current.client.setDown(true);

    // WHEN a third daemon starts
    Daemon cold = new Daemon("d3");
    cold.client.setDown(true);
    cold.start();
    boolean wasReadyAtOnce = cold.follower.isReady();
    time.advance(Duration.ofSeconds(2));

    // THEN it becomes ready with the highest revision
    assertThat(wasReadyAtOnce).isFalse();
    assertThat(cold.follower.isReady()).isTrue();
    assertThat(cold.state.find(KIND, "m1").orElseThrow().version()).isEqualTo(2);
  }

  @Test
  void isNeverReadyWithoutPlatformAndPeers() {
    // GIVEN a daemon alone in an outage
    Daemon cold = new Daemon("d1");
    cold.client.setDown(true);
    cold.start();

    // WHEN time passes THEN it is not ready until the platform returns
    time.advance(Duration.ofMinutes(1));
    assertThat(cold.follower.isReady()).isFalse();
    cold.client.setDown(false);
    time.advance(Duration.ofSeconds(10));
    assertThat(cold.follower.isReady()).isTrue();
  }

  @Test
  void pullsChangeFromPeerWhenPlatformIsUnreachable() {
    // GIVEN two daemons, one of which loses the platform, while no push arrives
    Daemon connected = new Daemon("d1");
    Daemon cutOff = new Daemon("d2");
    connected.start();
    cutOff.start();
    cutOff.client.setDown(true);

    // WHEN a change is accepted
    operator.put(KEY, 0, "{\"a\":1}");
    time.advance(Duration.ofSeconds(5));

    // THEN the daemon that is cut off gets it from its peer, and deletions too
    assertThat(cutOff.state.find(KIND, "m1")).isPresent();
    operator.delete(KEY, 1);
    time.advance(Duration.ofSeconds(5));
    assertThat(cutOff.state.find(KIND, "m1")).isEmpty();
  }

  @Test
  void surveyReportsDaemonWithoutChange() {
    // GIVEN two daemons and a third that neither the platform nor the peers reach
    Daemon first = new Daemon("d1");
    Daemon second = new Daemon("d2");
    Daemon third = new Daemon("d3");
    first.start();
    second.start();
    third.start();
    third.client.setDown(true);
    network.cut("d1", "d3");
    network.cut("d2", "d3");
    operator.put(KEY, 0, "{\"a\":1}");
    time.advance(Duration.ofSeconds(5));

    // WHEN the first daemon surveys the change
    RevisionSurvey survey =
        new RevisionSurvey("d1", first.state, first.bus, time, first.bus::livePeerIds);
    var answer = survey.query(KIND, "m1", 1).toCompletableFuture();
    time.advance(Duration.ofSeconds(2));

    // THEN only the third lacks it
    assertThat(answer.join())
        .filteredOn(daemon -> !daemon.isInForce())
        .extracting(DaemonRevisions::daemonId)
        .containsExactly("d3");
  }

  private final class Daemon {
    final ConfigurationState state = new ConfigurationState();
    final FakePlatform.Client client = platform.newClient();
    final PeerBus bus;
    final ConfigurationFollower follower;

    Daemon(String id) {
      Random random = new Random(id.hashCode());
      bus = network.join(id);
      follower =
          new ConfigurationFollower(
              state, client, bus, time, random::nextDouble, Duration.ofSeconds(20));
    }

    void start() {
      follower.start();
    }
  }
}
