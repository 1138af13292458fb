package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;

/** A configuration that one daemon has read is in force at all others in time. */
class ConfigurationSpreadProperties {

  private static final ConfigurationKind KIND = ConfigurationKind.GATEWAY;
  private static final ObjectKey KEY = new ObjectKey(KIND.wireName(), "main");
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(2);
  private static final FollowSettings SETTINGS =
      new FollowSettings(Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofSeconds(1));

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(2));
  private final FakePlatform.Client operator = platform.newClient();

  @Property(tries = 50, seed = "5101", generation = GenerationMode.RANDOMIZED)
  void reachesAllDaemonsAlthoughOnlyOneReadItFromTheStore(@ForAll Random random) {
    // GIVEN a fleet of which only one daemon reads a change before the store loses it
    operator.put(KEY, 0, "{\"version\":1}");
    List<Daemon> daemons =
        IntStream.range(0, 6).mapToObj(i -> new Daemon("d" + i, random)).toList();
    daemons.forEach(daemon -> daemon.follower.start());
    time.advance(Duration.ofSeconds(3));
    Daemon reader = daemons.get(0);
    daemons.stream().skip(1).forEach(daemon -> daemon.client.setDown(true));
    operator.put(KEY, 1, "{\"version\":2}");
    reader.client.setDown(true);

    // WHEN the time passes within which a change must be in force
    time.advance(IN_FORCE_TIMEOUT);

    // THEN every daemon has it
    assertThat(daemons).extracting(Daemon::contentVersion).containsOnly(2L);
  }

  private final class Daemon {
    private final ConfigurationState state = new ConfigurationState(Set.of(KIND));
    private final FakePlatform.Client client = platform.newClient();
    private final ConfigurationFollower follower;

    private Daemon(String id, Random random) {
      PeerBus bus = network.join(id);
      follower =
          new ConfigurationFollower(
              state,
              client,
              bus,
              time,
              random::nextDouble,
              SETTINGS,
              WatchAssignment.always(),
              new PlatformReachability(time, isReachable -> {}),
              StartCheck.withoutPeers());
    }

    private long contentVersion() {
      return state.contentVersion(KIND);
    }
  }
}
