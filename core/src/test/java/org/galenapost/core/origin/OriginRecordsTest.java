package org.galenapost.core.origin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.platform.StoreVersion;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/** Records of streams in the platform's store, which outlive the loss of all daemons. */
class OriginRecordsTest {

  private static final Duration MAX_STREAM_AGE = Duration.ofSeconds(50);
  private static final Duration CALLER_TIME = Duration.ofSeconds(20);
  private static final Duration SETTLING_TIME = Duration.ofSeconds(4);
  private static final String INCOMPLETE_RECORD = Json.write(OriginRecord.EMPTY);
  private static final StreamOrigin OLD = new StreamOrigin("pool", "v1");
  private static final StreamOrigin NEW = new StreamOrigin("pool", "v2");

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(2));
  private final FakePlatform platform = new FakePlatform();
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<String> versionsInService = new ArrayList<>(List.of("v1"));
  private boolean isFirstStart = true;
  private long era;

  @Test
  void knowsWhereStreamsBeganAfterAllDaemonsWereLost() {
    start(9);
    release("v2");
    beginStreams();
    time.advance(OriginRecords.WRITE_PERIOD);

    restartAll();

    for (int i = 0; i < daemons.size(); i++) {
      assertThat(daemons.get(0).origins.known("old-" + i)).contains(OLD);
      assertThat(daemons.get(0).origins.known("new-" + i)).contains(NEW);
    }
  }

  @Test
  void knowsWhereStreamsBeganAfterAllDaemonsWereLostTwice() {
    start(9);
    release("v2");
    beginStreams();
    time.advance(OriginRecords.WRITE_PERIOD);
    restartAll();
    daemons.forEach(daemon -> daemon.records.begin("late-" + daemon.id, NEW, CALLER_TIME));
    time.advance(SETTLING_TIME);

    restartAll();

    assertThat(daemons.get(0).origins.known("old-3")).contains(OLD);
    assertThat(daemons.get(0).origins.known("late-d3")).contains(NEW);
  }

  @Test
  void knowsVersionThatLeftWhileNoDaemonLived() {
    start(9);
    release("v2");
    time.advance(SETTLING_TIME);
    versionsInService.remove("v1");

    restartAll();

    assertThat(versionsSeenBy(daemons.get(8))).containsExactlyInAnyOrder("v1", "v2");
  }

  @Test
  void recordsStreamsThatBeganBeforeTheSecondVersionAppeared() {
    start(3);
    daemons.get(0).records.begin("old", OLD, CALLER_TIME);
    time.advance(SETTLING_TIME);

    release("v2");
    time.advance(OriginRecords.WRITE_PERIOD);
    restartAll();

    assertThat(daemons.get(1).origins.known("old")).contains(OLD);
  }

  @Test
  void writesNothingForStreamsOfServiceThatRunsOneVersion() {
    start(9);
    int writesBefore = platform.writes();

    for (int i = 0; i < 100; i++) {
      daemons.get(i % 9).records.begin("old-" + i, OLD, CALLER_TIME);
      time.advance(Duration.ofMillis(100));
    }

    assertThat(writesBefore).isEqualTo(OriginRecords.VERSION_RECORDERS);
    assertThat(platform.writes()).isEqualTo(writesBefore);
  }

  @Test
  void writesAtMostTwiceASecondHoweverManyStreamsBegin() {
    start(1);
    release("v2");
    time.advance(SETTLING_TIME);
    int writesBefore = platform.writes();

    for (int i = 0; i < 1_000; i++) {
      daemons.get(0).records.begin("new-" + i, NEW, CALLER_TIME);
      time.advance(Duration.ofMillis(10));
    }

    assertThat(platform.writes() - writesBefore).isLessThanOrEqualTo(21);
  }

  @Test
  void isCertainOfSingleVersionAfterRestartOfRecordedFleet() {
    start(9);

    restartAll();

    assertThat(daemons).allMatch(daemon -> daemon.records.history().isCertain(false));
    assertThat(versionsSeenBy(daemons.get(0))).containsExactly("v1");
  }

  @Test
  void isNotCertainWhenEarlierDaemonsLeftNoRecord() {
    isFirstStart = false;
    start(1);

    assertThat(daemons.get(0).records.history().isCertain(true)).isFalse();

    time.advance(MAX_STREAM_AGE);
    assertThat(daemons.get(0).records.history().isCertain(true)).isTrue();
  }

  @Test
  void isNotCertainWhileTheStoreCannotBeRead() {
    start(3);
    daemons.forEach(daemon -> daemon.records.stop());
    Daemon late = new Daemon("d0", true);

    assertThat(late.records.hasRead()).isFalse();
    assertThat(late.records.history().isCertain(true)).isFalse();

    late.store.setDown(false);
    time.advance(SETTLING_TIME);
    assertThat(late.records.history().isCertain(true)).isTrue();
  }

  @Test
  void isNotCertainWhenItReachesNeitherPeersNorStore() {
    start(1);

    daemons.get(0).isStoreReachable = false;

    assertThat(daemons.get(0).records.history().isCertain(true)).isTrue();
    assertThat(daemons.get(0).records.history().isCertain(false)).isFalse();
  }

  @Test
  void writesAgainWhatTheStoreLostInRestore() {
    start(1);
    release("v2");
    daemons.get(0).records.begin("new", NEW, CALLER_TIME);
    time.advance(OriginRecords.WRITE_PERIOD);
    long versionBefore = recordOf("d0").get();

    era = 1;
    announceServers(daemons.get(0));
    time.advance(SETTLING_TIME);

    assertThat(recordOf("d0").get()).isGreaterThan(versionBefore);
  }

  @Test
  void repeatsWriteThatFailed() {
    start(1);
    release("v2");
    daemons
        .get(0)
        .store
        .faultNextWrites(FakePlatform.Fault.REFUSED, FakePlatform.Fault.ANSWER_LOST);
    daemons.get(0).records.begin("new", NEW, CALLER_TIME);
    time.advance(SETTLING_TIME);

    restartAll();

    assertThat(daemons.get(0).origins.known("new")).contains(NEW);
  }

  @Test
  void removesRecordOfDaemonThatIsGoneForGood() {
    start(4);
    release("v2");
    daemons.forEach(daemon -> daemon.records.begin("s-" + daemon.id, NEW, CALLER_TIME));
    time.advance(SETTLING_TIME);
    daemons.get(3).records.stop();
    network.leave("d3");

    time.advance(MAX_STREAM_AGE.plus(SETTLING_TIME));

    assertThat(recordOf("d3")).isEmpty();
    assertThat(recordOf("d0")).isPresent();
  }

  @Test
  void forgetsVersionOnceNoStreamCanHaveBegunAtIt() {
    start(9);
    release("v2");
    beginStreams();
    time.advance(SETTLING_TIME);
    versionsInService.remove("v1");
    daemons.forEach(daemon -> daemon.directory.applyChange(removal("v1")));

    time.advance(MAX_STREAM_AGE.plus(SETTLING_TIME));
    restartAll();

    assertThat(versionsSeenBy(daemons.get(0))).containsExactly("v2");
  }

  /** The record of a daemon that cannot write stays complete, but names too few versions. */
  @Test
  void knowsVersionOfRecordedStreamsThatTheRecordersOfVersionsCouldNotWrite() {
    start(9);
    daemons.stream()
        .filter(daemon -> recordOf(daemon.id).isPresent())
        .forEach(recorder -> recorder.store.setDown(true));
    release("v2");
    beginStreams();
    time.advance(OriginRecords.WRITE_PERIOD);
    versionsInService.remove("v2");

    restartAll();

    assertThat(versionsSeenBy(daemons.get(0))).containsExactlyInAnyOrder("v1", "v2");
  }

  @Test
  void forgetsStreamsOnceTheirServiceRunsOneVersionAgain() {
    start(9);
    release("v2");
    beginStreams();
    time.advance(OriginRecords.WRITE_PERIOD);
    versionsInService.remove("v1");
    daemons.forEach(daemon -> daemon.directory.applyChange(removal("v1")));
    time.advance(MAX_STREAM_AGE.plus(SETTLING_TIME));
    int writesBefore = platform.writes();
    time.advance(SETTLING_TIME);

    restartAll();

    assertThat(platform.writes()).isEqualTo(writesBefore);
    assertThat(versionsSeenBy(daemons.get(0))).containsExactly("v2");
  }

  @Test
  void isNotCertainUntilTheStartIsKnownToBeTheFirst() {
    isFirstStart = false;
    start(1);
    OriginRecords records = daemons.get(0).records;
    assertThat(records.history().isComplete()).isFalse();

    records.confirmFirstStart();

    assertThat(records.history().isComplete()).isTrue();
  }

  @Test
  void isNotTheFirstStartWhenAnEarlierDaemonLeftRecords() {
    platform.newClient().put(new ObjectKey(OriginRecords.KIND, "d7"), 0, INCOMPLETE_RECORD);

    start(1);

    assertThat(daemons.get(0).records.history().isComplete()).isFalse();
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      daemons.add(new Daemon("d" + i, false));
    }
    time.advance(SETTLING_TIME);
  }

  private void restartAll() {
    isFirstStart = false;
    daemons.forEach(daemon -> daemon.records.stop());
    daemons.replaceAll(daemon -> new Daemon(daemon.id, false));
    time.advance(Duration.ofMillis(10));
  }

  private void release(String version) {
    versionsInService.add(version);
    daemons.forEach(this::announceServers);
  }

  private void beginStreams() {
    for (int i = 0; i < daemons.size(); i++) {
      daemons.get(i).records.begin("old-" + i, OLD, CALLER_TIME);
      daemons.get(i).records.begin("new-" + i, NEW, CALLER_TIME);
    }
  }

  private Set<String> versionsSeenBy(Daemon daemon) {
    return daemon.directory.softwareVersions("pool", MAX_STREAM_AGE);
  }

  private Optional<Long> recordOf(String daemonId) {
    return platform
        .read(new ObjectKey(OriginRecords.KIND, daemonId))
        .map(object -> object.version());
  }

  private void announceServers(Daemon daemon) {
    for (String version : versionsInService) {
      ServerInstance server =
          new ServerInstance("i-" + version, 1, 0, "pool", "10.0.0.1", 80, "z1", 4, false, version);
      daemon.directory.applyChange(change("i-" + version, Optional.of(Json.write(server))));
    }
  }

  private ConfigurationRecord removal(String version) {
    return change("i-" + version, Optional.empty());
  }

  private ConfigurationRecord change(String name, Optional<String> json) {
    return new ConfigurationRecord(ConfigurationKind.INSTANCE, name, StoreVersion.of(era, 1), json);
  }

  private final class Daemon {
    private final String id;
    private final FakePlatform.Client store = platform.newClient();
    private final InstanceDirectory directory;
    private final StreamOrigins origins;
    private final OriginRecords records;
    private boolean isStoreReachable = true;

    Daemon(String id, boolean isStoreDown) {
      this.id = id;
      store.setDown(isStoreDown);
      directory =
          new InstanceDirectory(
              time, new PlatformReachability(time, is -> {}), Duration.ZERO, change -> {});
      announceServers(this);
      PeerBus bus = network.join(id);
      origins = new StreamOrigins(bus, time, time);
      records =
          new OriginRecords(
              id,
              store,
              bus,
              time,
              time,
              new VersionHistory(
                  directory, time, () -> MAX_STREAM_AGE, () -> true, () -> isStoreReachable),
              origins,
              new SilentListener());
      records.start();
      if (isFirstStart) {
        records.confirmFirstStart();
      }
      keepDirectoryClean();
    }

    private void keepDirectoryClean() {
      directory.removeExpired();
      time.schedule(Duration.ofSeconds(1), this::keepDirectoryClean);
    }
  }

  private static final class SilentListener implements OriginRecords.Listener {
    @Override
    public void onRead(int records, int streams, boolean isComplete) {}

    @Override
    public void onFailure(PlatformError error) {}
  }
}
