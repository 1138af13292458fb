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
    // GIVEN an outage with one peer at revision 1 and one at revision 2
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
    Daemon starting = new Daemon("d3");
    starting.client.setDown(true);
    starting.start();
    boolean wasReadyAfterStart = starting.follower.isReady();
    time.advance(Duration.ofSeconds(2));

    // THEN it becomes ready with the highest revision
    assertThat(wasReadyAfterStart).isFalse();
    assertThat(starting.follower.isReady()).isTrue();
    assertThat(starting.state.find(KIND, "m1").orElseThrow().version()).isEqualTo(2);
  }

  @Test
  void isNeverReadyWithoutPlatformAndPeers() {
    // GIVEN a daemon without peers during an outage
    Daemon starting = new Daemon("d1");
    starting.client.setDown(true);
    starting.start();

    // WHEN time passes THEN it is not ready until the platform recovers
    time.advance(Duration.ofMinutes(1));
    assertThat(starting.follower.isReady()).isFalse();
    starting.client.setDown(false);
    time.advance(Duration.ofSeconds(10));
    assertThat(starting.follower.isReady()).isTrue();
  }

  @Test
  void listsEveryKindAsSoonAsThePlatformAnswersForOne() {
    // GIVEN a daemon that started during an outage, each kind in a backoff of its own
    Daemon starting = new Daemon("d1");
    starting.client.setDown(true);
    starting.start();
    time.advance(Duration.ofMinutes(1));

    // WHEN the platform recovers and answers for the first kind
    starting.client.setDown(false);
    while (starting.state.kinds().stream().allMatch(starting::lacks)) {
      time.advance(Duration.ofMillis(1));
    }

    // THEN no other kind waits for the rest of its backoff
    assertThat(starting.follower.isReady()).isTrue();
  }

  @Test
  void pullsChangeFromPeerWhenPlatformIsUnreachable() {
    // GIVEN two daemons, one of which cannot reach the platform, and no broadcasts
    Daemon connected = new Daemon("d1");
    Daemon unreachable = new Daemon("d2");
    connected.start();
    unreachable.start();
    unreachable.client.setDown(true);

    // WHEN a change is accepted
    operator.put(KEY, 0, "{\"a\":1}");
    time.advance(Duration.ofSeconds(5));

    // THEN the daemon without the platform pulls it, and later a deletion, from its peer
    assertThat(unreachable.state.find(KIND, "m1")).isPresent();
    operator.delete(KEY, 1);
    time.advance(Duration.ofSeconds(5));
    assertThat(unreachable.state.find(KIND, "m1")).isEmpty();
  }

  @Test
  void surveyReportsDaemonWithoutChange() {
    // GIVEN two daemons, and a third without connection to the platform and the peers
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

    // THEN only the third does not have it in force
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

    boolean lacks(ConfigurationKind kind) {
      return state.completeRevision(kind) == KindState.NOTHING_SEEN;
    }
  }
}
