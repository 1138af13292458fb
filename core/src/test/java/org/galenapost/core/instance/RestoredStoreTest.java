package org.galenapost.core.instance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.platform.StoreVersion;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/** The directory under a store that came back from a copy some seconds old. */
class RestoredStoreTest {

  private static final Duration LAPSED_USE = Duration.ofMillis(1_500);

  private final VirtualTime time = new VirtualTime();
  private final InstanceDirectory directory =
      new InstanceDirectory(
          time, new PlatformReachability(time, is -> {}), LAPSED_USE, change -> {});
  private long era = 1;
  private long revision = 100;

  @Test
  void keepsServerThatTheCopyLacksUntilServersHadTimeToWriteAgain() {
    announce("i1", 1, 5, false);
    announce("i2", 1, 5, false);
    restore();
    announce("i2", 1, 4, false);
    remove("i1");

    time.advance(Duration.ofSeconds(2));
    assertThat(ids(directory.lapsed("s"))).containsExactly("i1");
    assertThat(ids(directory.ready("s"))).containsExactly("i2");

    time.advance(Duration.ofMillis(300));
    assertThat(directory.lapsed("s")).isEmpty();
  }

  @Test
  void doesNotUseServerAgainWhoseEntryWasRemovedBeforeTheRestore() {
    announce("i1", 1, 5, false);
    remove("i1");
    time.advance(LAPSED_USE);
    directory.removeExpired();
    restore();

    announce("i1", 1, 4, false);

    assertThat(directory.ready("s")).isEmpty();
    assertThat(directory.lapsed("s")).isEmpty();
  }

  @Test
  void usesServerAgainThatWritesANewerEntry() {
    announce("i1", 1, 5, false);
    remove("i1");
    restore();
    announce("i1", 1, 4, false);

    announce("i1", 1, 6, false);

    assertThat(ids(directory.ready("s"))).containsExactly("i1");
  }

  @Test
  void usesServerAgainWhoseRestoredEntryIsKeptAlive() {
    announce("i1", 1, 5, false);
    remove("i1");
    restore();
    announce("i1", 1, 4, false);

    time.advance(Duration.ofSeconds(8));

    assertThat(ids(directory.ready("s"))).containsExactly("i1");
  }

  @Test
  void usesNextStartOfServerThatHadLeft() {
    announce("i1", 1, 5, false);
    remove("i1");
    restore();

    announce("i1", 2, 1, false);

    assertThat(ids(directory.ready("s"))).containsExactly("i1");
  }

  @Test
  void remembersThatServerWasLeaving() {
    announce("i1", 1, 5, true);
    restore();

    announce("i1", 1, 4, false);

    assertThat(directory.ready("s")).isEmpty();
  }

  @Test
  void keepsServerOutThatSaidThatItLeavesWhateverItsEntrySays() {
    announce("i1", 1, 5, false);
    directory.markLeaving(new InstanceKey("i1", 1));
    announce("i1", 1, 6, false);
    restore();
    announce("i1", 1, 4, false);
    announce("i1", 1, 7, false);

    assertThat(directory.ready("s")).isEmpty();
    assertThat(directory.retired()).containsExactly(new InstanceKey("i1", 1));

    announce("i1", 2, 1, false);
    assertThat(ids(directory.ready("s"))).as("the next start").containsExactly("i1");
  }

  @Test
  void keepsUsingServersWhoseEntriesLapsedInAnOutage() {
    announce("i1", 1, 5, false);
    restore();
    remove("i1");
    restore();

    announce("i1", 1, 4, false);

    assertThat(ids(directory.ready("s"))).containsExactly("i1");
  }

  private void restore() {
    era++;
    revision = 50;
  }

  private void announce(String id, long startedAt, long sequence, boolean isLeaving) {
    ServerInstance instance =
        new ServerInstance(id, startedAt, sequence, "s", "10.0.0.1", 80, "dc1", 6, isLeaving, "v1");
    accept(id, Optional.of(Json.write(instance)));
  }

  private void remove(String id) {
    accept(id, Optional.empty());
  }

  private void accept(String id, Optional<String> json) {
    revision++;
    directory.applyChange(
        new ConfigurationRecord(
            ConfigurationKind.INSTANCE, id, StoreVersion.of(era, revision), json));
  }

  private static List<String> ids(List<ServerInstance> instances) {
    return instances.stream().map(ServerInstance::id).toList();
  }
}
