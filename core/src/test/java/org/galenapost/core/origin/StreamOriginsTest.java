package org.galenapost.core.origin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Daemons that remember for each other where streams began. */
class StreamOriginsTest {

  private static final Duration LATENCY = Duration.ofMillis(2);
  private static final Duration CALLER_TIME = Duration.ofSeconds(20);
  private static final Duration MAX_SEARCH_TIME = Duration.ofMillis(400);
  private static final int STREAMS = 200;
  private static final StreamOrigin ORIGIN = new StreamOrigin("pool", "v1.1");

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, LATENCY);
  private final List<Daemon> daemons = new ArrayList<>();

  @ParameterizedTest
  @ValueSource(ints = {2, 9, 95})
  void knowsTheStreamsOfDaemonThatIsGone(int daemonCount) {
    start(daemonCount);
    recordStreams(daemons.get(0));
    restart(0);

    assertThat(foundShare(daemons.get(1))).isEqualTo(1);
  }

  @Test
  void knowsMostStreamsWhenMoreThanHalfOfTheDaemonsAreKilledAtOnce() {
    start(9);
    recordStreams(daemons.get(0));
    for (int i = 0; i < 5; i++) {
      restart(i);
    }

    assertThat(foundShare(daemons.get(2))).isGreaterThan(0.9);
  }

  @Test
  void knowsStreamsAfterDaemonsJoined() {
    start(20);
    recordStreams(daemons.get(0));
    restart(0);
    for (int i = 0; i < 6; i++) {
      daemons.add(new Daemon("joined-" + i));
    }

    assertThat(foundShare(daemons.get(25))).isGreaterThan(0.95);
  }

  @Test
  void tellsEachStreamToFewDaemonsHoweverLargeTheFleet() {
    start(500);
    long sentBefore = network.sentMessages();

    daemons.get(0).origins.record("a1", ORIGIN, CALLER_TIME);

    assertThat(network.sentMessages() - sentBefore).isEqualTo(StreamOrigins.HOLDERS);
  }

  @Test
  void answersInTimeAndSaysSoWhenHoldersAreSilent() {
    start(9);
    recordStreams(daemons.get(0));
    daemons.subList(0, 8).forEach(daemon -> network.cut(daemon.id, "d8"));

    StreamOrigins.Result result = find(daemons.get(8), "never-was");

    assertThat(result.origin()).isEmpty();
    assertThat(result.isComplete()).isFalse();
  }

  @Test
  void saysThatNoDaemonKnowsStreamThatNeverWas() {
    start(9);

    StreamOrigins.Result result = find(daemons.get(8), "never-was");

    assertThat(result.origin()).isEmpty();
    assertThat(result.isComplete()).isTrue();
  }

  @Test
  void forgetsStreamsThatCanNoLongerBeResumed() {
    start(3);
    recordStreams(daemons.get(0));

    time.advance(CALLER_TIME.plusSeconds(10));

    assertThat(daemons).allMatch(daemon -> daemon.origins.count() == 0);
  }

  @Test
  void boundsItsMemoryWhenCallersNameEndlessTimes() {
    start(1);
    for (int i = 0; i < KnownOrigins.MAX_ORIGINS + 100; i++) {
      daemons.get(0).origins.record("a" + i, ORIGIN, Duration.ofDays(365_000));
    }
    assertThat(daemons.get(0).origins.count()).isEqualTo(KnownOrigins.MAX_ORIGINS);

    time.advance(KnownOrigins.MAX_LIFETIME.plusSeconds(10));

    assertThat(daemons.get(0).origins.count()).isZero();
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      daemons.add(new Daemon("d" + i));
    }
  }

  /** Replaces a daemon by a new start of it, which knows nothing. */
  private void restart(int index) {
    daemons.set(index, new Daemon("d" + index));
  }

  private void recordStreams(Daemon daemon) {
    for (int i = 0; i < STREAMS; i++) {
      daemon.origins.record("a" + i, ORIGIN, CALLER_TIME);
    }
    time.advance(LATENCY);
  }

  private double foundShare(Daemon daemon) {
    int foundCount = 0;
    for (int i = 0; i < STREAMS; i++) {
      if (find(daemon, "a" + i).origin().filter(ORIGIN::equals).isPresent()) {
        foundCount++;
      }
    }
    return (double) foundCount / STREAMS;
  }

  private StreamOrigins.Result find(Daemon daemon, String stream) {
    List<StreamOrigins.Result> results = new ArrayList<>();
    daemon.origins.find(stream, results::add);
    for (Duration waited = Duration.ZERO;
        results.isEmpty() && waited.compareTo(MAX_SEARCH_TIME) < 0;
        waited = waited.plus(LATENCY)) {
      time.advance(LATENCY);
    }
    assertThat(results).hasSize(1);
    return results.get(0);
  }

  private final class Daemon {
    private final String id;
    private final StreamOrigins origins;

    Daemon(String id) {
      this.id = id;
      PeerBus bus = network.join(id);
      this.origins = new StreamOrigins(bus, time, time);
      origins.start();
    }
  }
}
