package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A server in need that names a limit, and daemons that send as much as they may. */
class SendPermitsTest {

  private static final InstanceKey SERVER = new InstanceKey("i-1", 1_000);
  private static final Duration LATENCY = Duration.ofMillis(2);
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final double LIMIT_PER_S = 2.3;

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, LATENCY);
  private final Random random = new Random(5_301);
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<Long> sentNanos = new ArrayList<>();

  @ParameterizedTest
  @CsvSource({"1, 2.3", "4, 2.3", "9, 2.3", "9, 40", "95, 2.3", "95, 0.4"})
  void allDaemonsTogetherSendAsMuchAsTheServerTakes(int daemonCount, double limitPerS) {
    // GIVEN a fleet that knows the limit
    start(daemonCount);
    nameLimit(limitPerS);

    // WHEN every daemon has more calls than the server takes
    sendFor(Duration.ofSeconds(20), daemons);

    // THEN the rate is used and not exceeded
    assertThat(mostInOneWindow()).isLessThanOrEqualTo(allowedInWindow(limitPerS, 1));
    assertThat(sentNanos).hasSizeGreaterThan((int) (0.8 * limitPerS * 20) - 2);
  }

  @Test
  void daemonsWithoutTrafficLeaveTheRateToTheOthers() {
    start(9);
    nameLimit(LIMIT_PER_S);

    sendFor(Duration.ofSeconds(20), daemons.subList(3, 4));

    assertThat(sentNanos).hasSizeGreaterThan((int) (0.8 * LIMIT_PER_S * 20));
  }

  @Test
  void deputyGrantsAPartWhileTheGranterDoesNotReply() {
    start(6);
    nameLimit(LIMIT_PER_S);
    sendFor(Duration.ofSeconds(4), daemons);
    Daemon granter = granter();
    List<Daemon> others = daemons.stream().filter(daemon -> daemon != granter).toList();
    others.forEach(daemon -> network.cut(granter.id, daemon.id));
    others.forEach(daemon -> network.cut(daemon.id, granter.id));
    int sentBefore = sentNanos.size();

    sendFor(Duration.ofSeconds(20), daemons);

    double halfOfWhatBothGrant = 0.5 * (1 + SendPermits.DEPUTY_SHARE) * LIMIT_PER_S * 20;
    assertThat(sentNanos).hasSizeGreaterThan(sentBefore + (int) halfOfWhatBothGrant);
    assertThat(mostInOneWindow()).isLessThanOrEqualTo(allowedInWindow(LIMIT_PER_S, 1.5));
  }

  @Test
  void daemonThatJoinsLearnsTheLimitAndTakesPart() {
    start(3);
    nameLimit(LIMIT_PER_S);
    Daemon joined = new Daemon("d-joined");
    daemons.add(joined);
    sendFor(SECOND.plus(LATENCY.multipliedBy(2)), daemons.subList(0, 3));
    sentNanos.clear();

    sendFor(Duration.ofSeconds(20), daemons);

    assertThat(joined.limits.servers()).containsExactly(SERVER);
    assertThat(mostInOneWindow()).isLessThanOrEqualTo(allowedInWindow(LIMIT_PER_S, 1.5));
  }

  @Test
  void serverThatTakesNothingStillGetsACallNowAndThen() {
    start(4);
    nameLimit(0);

    sendFor(Duration.ofSeconds(20), daemons);

    assertThat(sentNanos).hasSizeBetween(3, 5);
  }

  @Test
  void allDaemonsSendFreelyOnceOneReadsThatTheLimitHasEnded() {
    start(4);
    nameLimit(LIMIT_PER_S);
    time.advance(SECOND);

    daemons.get(1).limits.onResponse(SERVER, RateStatement.unlimited(), time.nanos());
    time.advance(LATENCY);
    sendFor(SECOND, daemons);

    assertThat(sentNanos).hasSizeGreaterThan(50);
  }

  @Test
  void deniedDaemonPausesTheServerUntilThereIsAPermit() {
    start(1);
    nameLimit(LIMIT_PER_S);
    Daemon daemon = daemons.get(0);

    daemon.trySend();

    assertThat(sentNanos).isEmpty();
    assertThat(daemon.pauses.isPaused(SERVER)).isTrue();
    time.advance(Duration.ofMillis(440));
    assertThat(daemon.pauses.isPaused(SERVER)).isFalse();
    daemon.trySend();
    assertThat(sentNanos).hasSize(1);
  }

  private void start(int count) {
    IntStream.range(0, count).mapToObj(i -> new Daemon("d" + i)).forEach(daemons::add);
  }

  private void nameLimit(double limitPerS) {
    daemons.get(0).limits.onResponse(SERVER, RateStatement.limitedTo(limitPerS), time.nanos());
    time.advance(LATENCY);
  }

  /** Lets each daemon try to send about 20 calls a second. */
  private void sendFor(Duration duration, List<Daemon> senders) {
    long endNanos = time.nanos() + duration.toNanos();
    while (time.nanos() < endNanos) {
      senders.stream().filter(daemon -> random.nextInt(10) == 0).forEach(Daemon::trySend);
      time.advance(Duration.ofMillis(5));
    }
  }

  private Daemon granter() {
    List<String> ids = daemons.stream().map(daemon -> daemon.id).toList();
    String first = Rendezvous.rank(SERVER.text(), ids, id -> id).get(0);
    return daemons.stream().filter(daemon -> daemon.id.equals(first)).findFirst().orElseThrow();
  }

  private static int allowedInWindow(double limitPerS, double factor) {
    return (int) (factor * limitPerS * WINDOW.toSeconds() + 5);
  }

  private int mostInOneWindow() {
    return sentNanos.stream()
        .mapToInt(
            start ->
                (int)
                    sentNanos.stream()
                        .filter(nanos -> nanos >= start && nanos - start <= WINDOW.toNanos())
                        .count())
        .max()
        .orElse(0);
  }

  private final class Daemon {
    private final String id;
    private final ServerLimits limits;
    private final RequestedPauses pauses = new RequestedPauses(time);
    private final SendPermits permits;

    private Daemon(String id) {
      this.id = id;
      PeerBus bus = network.join(id);
      limits = new ServerLimits(bus, time, new IgnoringListener());
      permits = new SendPermits(id, bus, time, time, limits, pauses);
      limits.start();
      permits.start();
    }

    private void trySend() {
      if (!pauses.isPaused(SERVER)) {
        permits.acquire(SERVER, this::onResult);
      }
    }

    private void onResult(boolean isGranted) {
      if (isGranted) {
        sentNanos.add(time.nanos());
      }
    }
  }

  private static final class IgnoringListener implements ServerLimits.Listener {
    @Override
    public void onNamed(InstanceKey server, double requestsPerS) {}

    @Override
    public void onEnded(InstanceKey server) {}
  }
}
