package org.galenapost.core.instance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class InstanceDirectoryTest {

  private static final Duration LAPSED_USE = Duration.ofMillis(1_500);

  private static final Duration STREAM_TIME = Duration.ofSeconds(50);

  private final VirtualTime time = new VirtualTime();
  private final PlatformReachability reachability = new PlatformReachability(time, isReached -> {});
  private final List<InstanceChange.Kind> changes = new ArrayList<>();
  private final InstanceDirectory directory =
      new InstanceDirectory(time, reachability, LAPSED_USE, change -> changes.add(change.kind()));
  private long revision;

  @Test
  void doesNotOfferLeavingServersForNewCalls() {
    announce(server("i1", 1, false));
    announce(server("i1", 1, true));

    assertThat(directory.ready("s")).isEmpty();
    assertThat(directory.lapsed("s")).isEmpty();
    assertThat(changes).containsExactly(InstanceChange.Kind.APPEARED, InstanceChange.Kind.LEAVING);
  }

  @Test
  void offersLapsedServersAsLastResortForAShortTime() {
    announce(server("i1", 1, false));
    remove("i1");

    assertThat(directory.ready("s")).isEmpty();
    assertThat(directory.lapsed("s")).hasSize(1);

    time.advance(LAPSED_USE);
    assertThat(directory.lapsed("s")).isEmpty();
  }

  @Test
  void waitsForEntriesThatLapsedDuringAnOutageToReturn() {
    announce(server("i1", 1, false));
    reachability.recordFailure();
    time.advance(Duration.ofSeconds(6));
    reachability.recordAnswer();
    remove("i1");

    time.advance(Duration.ofMillis(2_000));
    assertThat(directory.lapsed("s")).as("two seconds after the return").hasSize(1);

    time.advance(Duration.ofMillis(300));
    assertThat(directory.lapsed("s")).as("later").isEmpty();
  }

  @Test
  void expiresInstanceLapsedBeforeAnOutageAlsoDuringIt() {
    announce(server("i1", 1, false));
    remove("i1");
    reachability.recordFailure();

    time.advance(LAPSED_USE);

    assertThat(directory.lapsed("s")).isEmpty();
  }

  @Test
  void acceptsEntryThatIsAnnouncedAgain() {
    announce(server("i1", 1, false));
    remove("i1");
    announce(server("i1", 1, false));

    assertThat(directory.ready("s")).hasSize(1);
  }

  @Test
  void distinguishesStartsOfOneServer() {
    announce(server("i1", 1, false));
    directory.markReplaced(server("i1", 1, false).key());
    assertThat(directory.ready("s")).isEmpty();

    announce(server("i1", 2, false));

    assertThat(directory.ready("s"))
        .extracting(ServerInstance::startedAtEpochMs)
        .containsExactly(2L);
  }

  @Test
  void removesExpiredInstances() {
    announce(server("i1", 1, false));
    remove("i1");
    time.advance(LAPSED_USE);

    directory.removeExpired();

    assertThat(directory.size()).isZero();
    assertThat(directory.keys()).isEmpty();
  }

  @Test
  void remembersTheVersionOfServersThatHaveGoneForAsLongAsStreamsMayReturn() {
    announce(server("i1", 1, false));
    announce(new ServerInstance("i2", 1, 0, "s", "10.0.0.2", 80, "dc1", 6, false, "v2"));
    remove("i1");
    time.advance(LAPSED_USE);
    directory.removeExpired();

    assertThat(directory.hasServer("s", "v1")).isFalse();
    assertThat(directory.softwareVersions("s", STREAM_TIME)).containsExactlyInAnyOrder("v1", "v2");

    time.advance(STREAM_TIME.plusMillis(1));
    assertThat(directory.softwareVersions("s", STREAM_TIME)).containsExactly("v2");
  }

  private static ServerInstance server(String id, long startedAt, boolean isLeaving) {
    return new ServerInstance(id, startedAt, 0, "s", "10.0.0.1", 80, "dc1", 6, isLeaving, "v1");
  }

  private void announce(ServerInstance instance) {
    accept(instance.id(), Optional.of(Json.write(instance)));
  }

  private void remove(String id) {
    accept(id, Optional.empty());
  }

  private void accept(String id, Optional<String> json) {
    directory.applyChange(
        new ConfigurationRecord(ConfigurationKind.INSTANCE, id, ++revision, json));
  }
}
