package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/** A daemon that starts is ready with the newest configuration of its peers, if they answer. */
class PeerVersionCheckTest {

  private static final ConfigurationKind KIND = ConfigurationKind.GATEWAY;
  private static final ObjectKey KEY = new ObjectKey(KIND.wireName(), "main");
  private static final Duration SOON = Duration.ofMillis(100);

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(2));
  private final FakePlatform platform = platformWith(8);
  private final FakePlatform restoredPlatform = platformWith(7);
  private final List<StartCheck.Outcome> outcomes = new ArrayList<>();

  @Test
  void isReadyAtOnceWithoutPeers() {
    Daemon alone = new Daemon("d1", restoredPlatform, 0);

    alone.follower.start();

    assertThat(alone.follower.isReady()).isTrue();
  }

  @Test
  void isNotReadyBeforeItHoldsTheVersionOfItsPeer() {
    // GIVEN a peer that knows a newer configuration than the restored store
    new Daemon("d1", platform, 0).follower.start();
    Daemon starting = new Daemon("d2", restoredPlatform, 1);
    starting.follower.start();

    // WHEN the daemon becomes ready
    boolean wasReadyAtOnce = starting.follower.isReady();
    time.advance(SOON);

    // THEN it holds the newer configuration
    assertThat(wasReadyAtOnce).isFalse();
    assertThat(starting.follower.isReady()).isTrue();
    assertThat(starting.state.contentVersion(KIND)).isEqualTo(8);
  }

  @Test
  void isReadyAfterTheTimeLimitIfPeersAreSilent() {
    new Daemon("d1", platform, 0).follower.start();
    Daemon starting = new Daemon("d2", restoredPlatform, 1);
    network.cut("d1", "d2");

    starting.follower.start();
    time.advance(PeerVersionCheck.MAX_WAIT.minusMillis(60));
    boolean wasReadyBefore = starting.follower.isReady();
    time.advance(SOON);

    assertThat(wasReadyBefore).isFalse();
    assertThat(starting.follower.isReady()).isTrue();
    assertThat(outcomes).contains(new StartCheck.Outcome(false, 0));
  }

  @Test
  void daemonsThatStartTogetherDoNotWaitForEachOther() {
    List<Daemon> fleet = List.of(newDaemonOfThree(1), newDaemonOfThree(2), newDaemonOfThree(3));

    fleet.forEach(daemon -> daemon.follower.start());
    time.advance(SOON);

    assertThat(fleet).allMatch(daemon -> daemon.follower.isReady());
  }

  @Test
  void doesNotWaitForPeersThatHaveReadNothingYet() {
    Daemon starting = newDaemonOfThree(1);
    List<Daemon> later = List.of(newDaemonOfThree(2), newDaemonOfThree(3));
    later.forEach(daemon -> daemon.client.setDown(true));
    later.forEach(daemon -> daemon.follower.start());

    starting.follower.start();
    time.advance(SOON);

    assertThat(starting.follower.isReady()).isTrue();
  }

  @Test
  void fleetThatRestartsDoesNotWaitForItsSlowestDaemons() {
    List<Daemon> fleet =
        IntStream.rangeClosed(1, 6)
            .mapToObj(i -> new Daemon("d" + i, restoredPlatform, 5))
            .toList();
    for (int i = 1; i <= 6; i++) {
      network.cut("d5", "d" + i);
      network.cut("d6", "d" + i);
    }

    fleet.forEach(daemon -> daemon.follower.start());
    time.advance(Duration.ofMillis(300));

    assertThat(fleet.subList(0, 4)).allMatch(daemon -> daemon.follower.isReady());
  }

  @Test
  void isReadyAlthoughSomePeersAreSilentOnceThreeReadyOnesAnswered() {
    for (int i = 1; i <= 5; i++) {
      new Daemon("d" + i, platform, 0).follower.start();
    }
    time.advance(SOON);
    Daemon starting = new Daemon("d6", restoredPlatform, 5);
    network.cut("d4", "d6");
    network.cut("d5", "d6");

    starting.follower.start();
    time.advance(SOON);

    assertThat(starting.follower.isReady()).isTrue();
    assertThat(starting.state.contentVersion(KIND)).isEqualTo(8);
  }

  private Daemon newDaemonOfThree(int number) {
    return new Daemon("d" + number, restoredPlatform, 2);
  }

  private static FakePlatform platformWith(long version) {
    FakePlatform platform = new FakePlatform();
    platform.newClient().put(KEY, 0, "{\"version\":" + version + "}");
    return platform;
  }

  private final class Daemon {
    private final ConfigurationState state = new ConfigurationState(Set.of(KIND));
    private final FakePlatform.Client client;
    private final ConfigurationFollower follower;

    private Daemon(String id, FakePlatform store, int knownPeers) {
      PeerBus bus = network.join(id);
      client = store.newClient();
      Random random = new Random(id.hashCode());
      follower =
          new ConfigurationFollower(
              state,
              client,
              bus,
              time,
              random::nextDouble,
              FollowSettings.withWatchWait(Duration.ofSeconds(2)),
              WatchAssignment.always(),
              new PlatformReachability(time, isReachable -> {}),
              new StartCheck(() -> knownPeers, outcomes::add));
    }
  }
}
