package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Reports of a watcher about a configuration that every daemon fetches from the store. Its revision
 * rises with each change of any server, so a call for each rise costs a call for each daemon.
 */
class WatchReportTest {

  private static final ConfigurationKind KIND = ConfigurationKind.GATEWAY;
  private static final ObjectKey KEY = new ObjectKey(KIND.wireName(), "main");
  private static final Duration REPORT_PERIOD = Duration.ofMillis(500);
  private static final int REPORTS = 10;

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
  private final FakePlatform.Client client = platform.newClient();
  private final ConfigurationState state = new ConfigurationState(Set.of(KIND));
  private PeerBus watcher;

  @BeforeEach
  void startFollower() {
    platform.newClient().put(KEY, 0, "{\"version\": 7}");
    String id = followerId();
    WatchAssignment assignment =
        new WatchAssignment(
            id, Set.of(KIND), Set.of(KIND), () -> Set.of("w1", "w2"), time, isWatching -> {});
    watcher = network.join("w1");
    new ConfigurationFollower(
            state,
            client,
            network.join(id),
            time,
            () -> 0.5,
            FollowSettings.withWatchWait(Duration.ofSeconds(2)),
            assignment,
            new PlatformReachability(time, isReachable -> {}),
            StartCheck.withoutPeers())
        .start();
    report(1, 7);
    time.advance(REPORT_PERIOD);
    platform.newClient().put(new ObjectKey("model", "unrelated"), 0, "{}");
  }

  /** Returns an id that rendezvous hashing does not make one of the two watchers. */
  private static String followerId() {
    for (int i = 0; ; i++) {
      String id = "f" + i;
      WatchAssignment assignment =
          new WatchAssignment(
              id, Set.of(KIND), Set.of(), () -> Set.of("w1", "w2"), () -> 0, isWatching -> {});
      if (assignment.reportRecipients().isEmpty()) {
        return id;
      }
    }
  }

  @Test
  void makesNoCallWhenOnlyTheRevisionHasRisen() {
    settle();
    int before = client.watches();

    for (int i = 0; i < REPORTS; i++) {
      report(100 + i, 7);
      time.advance(REPORT_PERIOD);
      platform.endWatches();
    }

    assertThat(client.watches()).isEqualTo(before);
  }

  @Test
  void fetchesConfigurationWithHigherVersion() {
    settle();
    long version = platform.read(KEY).orElseThrow().version();
    platform.newClient().put(KEY, version, "{\"version\": 8}");

    report(200, 8);
    time.advance(REPORT_PERIOD);

    assertThat(state.contentVersion(KIND)).isEqualTo(8);
  }

  /** Lets the first watch end, which began before any report. */
  private void settle() {
    for (int i = 0; i < REPORTS; i++) {
      report(2, 7);
      platform.endWatches();
      time.advance(REPORT_PERIOD);
    }
  }

  private void report(long revision, long contentVersion) {
    watcher
        .livePeerIds()
        .forEach(
            id ->
                watcher.send(
                    id,
                    new ConfigurationMessage.WatchReport(
                        List.of(new KindRevision(KIND, revision, contentVersion)))));
  }
}
