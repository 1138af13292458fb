package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WatchSharingTest {

  private static final ConfigurationKind KIND = ConfigurationKind.MODEL;
  private static final ObjectKey KEY = new ObjectKey(KIND.wireName(), "m1");
  private static final int DAEMONS = 6;
  private static final Duration SECOND = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
  private final FakePlatform.Client operator = platform.newClient();
  private final List<Daemon> daemons = new ArrayList<>();
  private final Set<ConfigurationKind> largeKinds = new HashSet<>();

  @BeforeEach
  void startDaemonsAndApplyOneChange() {
    IntStream.range(0, DAEMONS).forEach(i -> daemons.add(new Daemon("d" + i)));
    daemons.forEach(daemon -> daemon.follower.start());
    time.advance(SECOND);
    long version =
        operator.get(KEY).toCompletableFuture().join().map(o -> o.version()).getOrElse(0L);
    operator.put(KEY, version, "{\"a\":1}");
    time.advance(SECOND);
  }

  @Test
  void twoDaemonsWatchEachKind() {
    List<Integer> before = daemons.stream().map(daemon -> daemon.client.watches()).toList();

    operator.put(KEY, 1, "{\"a\":2}");
    time.advance(SECOND.multipliedBy(5));

    long watching =
        IntStream.range(0, DAEMONS)
            .filter(i -> daemons.get(i).client.watches() > before.get(i))
            .count();
    assertThat(watching).isEqualTo(2);
    assertThat(daemons).allMatch(daemon -> daemon.version() == 2);
  }

  @Test
  void reportsChangeToOtherDaemonsImmediately() {
    operator.put(KEY, 1, "{\"a\":2}");
    time.advance(Duration.ofMillis(10));

    assertThat(daemons).allMatch(daemon -> daemon.version() == 2);
  }

  @Test
  void fetchesLargeObjectsFromPlatformAfterReport() {
    largeKinds.add(KIND);
    daemons.clear();
    startDaemonsAndApplyOneChange();
    List<Integer> before = daemons.stream().map(daemon -> daemon.client.watches()).toList();

    operator.put(KEY, operator.get(KEY).toCompletableFuture().join().get().version(), "{}");
    time.advance(Duration.ofMillis(10));

    assertThat(daemons).extracting(Daemon::version).containsOnly(daemons.get(0).version());
    assertThat(daemons.get(0).version()).isGreaterThan(2);
    for (int i = 0; i < DAEMONS; i++) {
      assertThat(daemons.get(i).client.watches()).isLessThanOrEqualTo(before.get(i) + 1);
    }
  }

  @Test
  void watchesPlatformWhenNoWatcherReachesIt() {
    List<Daemon> watchers = daemons.stream().filter(daemon -> daemon.isWatcher()).toList();
    watchers.forEach(watcher -> watcher.client.setDown(true));
    operator.put(KEY, 1, "{\"a\":2}");

    time.advance(SECOND.multipliedBy(2));

    assertThat(watchers).hasSize(2);
    assertThat(daemons)
        .filteredOn(daemon -> !watchers.contains(daemon))
        .allMatch(daemon -> daemon.version() == 2);
  }

  @Test
  void watchesPlatformWhenNoReportArrives() {
    Daemon follower =
        daemons.stream().filter(daemon -> !daemon.isWatcher()).findFirst().orElseThrow();
    daemons.forEach(daemon -> network.cut(daemon.id, follower.id));
    operator.put(KEY, 1, "{\"a\":2}");

    time.advance(SECOND.multipliedBy(2));

    assertThat(follower.version()).isEqualTo(2);
  }

  @Test
  void stopsWatchingOnceWatchersReachPlatformAgain() {
    List<Daemon> watchers = daemons.stream().filter(daemon -> daemon.isWatcher()).toList();
    watchers.forEach(watcher -> watcher.client.setDown(true));
    operator.put(KEY, 1, "{\"a\":2}");
    time.advance(SECOND.multipliedBy(3));
    watchers.forEach(watcher -> watcher.client.setDown(false));
    time.advance(SECOND.multipliedBy(10));

    operator.put(KEY, 2, "{\"a\":3}");
    time.advance(SECOND);
    List<Integer> before = daemons.stream().map(daemon -> daemon.client.watches()).toList();
    operator.put(KEY, 3, "{\"a\":4}");
    time.advance(SECOND);

    assertThat(
            IntStream.range(0, DAEMONS)
                .filter(i -> daemons.get(i).client.watches() > before.get(i))
                .mapToObj(daemons::get))
        .containsExactlyInAnyOrderElementsOf(watchers);
  }

  private final class Daemon {

    final String id;
    final FakePlatform.Client client = platform.newClient();
    final ConfigurationState state = new ConfigurationState(Set.of(KIND));
    final WatchAssignment assignment;
    final ConfigurationFollower follower;

    Daemon(String id) {
      this.id = id;
      PeerBus bus = network.join(id);
      Random random = new Random(id.hashCode());
      Set<String> others = new HashSet<>();
      IntStream.range(0, DAEMONS).mapToObj(i -> "d" + i).forEach(others::add);
      others.remove(id);
      assignment =
          new WatchAssignment(
              id, Set.of(KIND), Set.copyOf(largeKinds), () -> others, time, isWatching -> {});
      follower =
          new ConfigurationFollower(
              state,
              client,
              bus,
              time,
              random::nextDouble,
              FollowSettings.withWatchWait(Duration.ofSeconds(20)),
              assignment,
              new PlatformReachability(time, isReachable -> {}),
              StartCheck.withoutPeers());
    }

    boolean isWatcher() {
      return !assignment.reportRecipients().isEmpty();
    }

    long version() {
      return state.find(KIND, "m1").map(ConfigurationRecord::version).orElse(0L);
    }
  }
}
