package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A server that falls over if it refuses many calls in a second, and daemons with more calls. */
class BrittleServersTest {

  private static final InstanceKey SERVER = new InstanceKey("i-1", 1_000);
  private static final Duration LATENCY = Duration.ofMillis(2);
  private static final Duration WORK = Duration.ofMillis(43);
  private static final Duration STEP = Duration.ofMillis(5);
  private static final Duration DAY = Duration.ofSeconds(20);
  private static final int SLOTS = 6;

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, LATENCY);
  private final Random random = new Random(7_411);
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<Long> refusalNanos = new ArrayList<>();
  private int callsInProgress;
  private int servedCount;

  @ParameterizedTest
  @CsvSource({"1, 10, 300", "9, 10, 300", "9, 20, 600", "95, 20, 600"})
  void serverRefusesNoMoreThanItBears(int daemonCount, double refusalsPerS, int callsPerS) {
    start(daemonCount);
    daemons.get(0).servers.onResponse(SERVER, RateStatement.limitedTo(refusalsPerS), time.nanos());
    time.advance(LATENCY);

    send(callsPerS);

    assertThat(mostRefusalsInOneSecond()).isLessThanOrEqualTo((int) refusalsPerS);
    assertThat(servedCount).as("served calls").isGreaterThan(100);
  }

  @Test
  void serverThatIsNotBrittleMayRefuse() {
    start(9);

    send(600);

    assertThat(mostRefusalsInOneSecond()).isGreaterThan(100);
  }

  @Test
  void endsWhenServerAnswersLaterCallWithoutTheWord() {
    start(2);
    Daemon first = daemons.get(0);
    long sentBeforeNanos = time.nanos();
    time.advance(STEP);
    first.servers.onResponse(SERVER, RateStatement.limitedTo(5), sentBeforeNanos);
    first.servers.onResponse(SERVER, RateStatement.unlimited(), sentBeforeNanos);
    time.advance(LATENCY);
    assertThat(daemons).allMatch(daemon -> daemon.servers.isBrittle(SERVER));

    time.advance(STEP);
    first.servers.onResponse(SERVER, RateStatement.unlimited(), time.nanos());
    time.advance(LATENCY);

    assertThat(daemons).noneMatch(daemon -> daemon.servers.isBrittle(SERVER));
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      daemons.add(new Daemon("d" + i));
    }
  }

  /** Sends calls at random daemons, each to the server unless the daemon pauses it. */
  private void send(int callsPerS) {
    long endNanos = time.nanos() + DAY.toNanos();
    while (time.nanos() - endNanos < 0) {
      int calls = callsPerS * (int) STEP.toMillis() / 1_000;
      for (int i = 0; i < Math.max(1, calls); i++) {
        Daemon daemon = daemons.get(random.nextInt(daemons.size()));
        if (!daemon.pauses.isPaused(SERVER)) {
          time.schedule(LATENCY, () -> arrive(daemon));
        }
      }
      time.advance(STEP);
    }
  }

  private void arrive(Daemon daemon) {
    if (callsInProgress >= SLOTS) {
      refusalNanos.add(time.nanos());
      time.schedule(LATENCY, () -> daemon.servers.onRefused(SERVER));
      return;
    }
    callsInProgress++;
    servedCount++;
    time.schedule(WORK, () -> callsInProgress--);
  }

  private int mostRefusalsInOneSecond() {
    long secondNanos = Duration.ofSeconds(1).toNanos();
    return refusalNanos.stream()
        .mapToInt(
            start ->
                (int)
                    refusalNanos.stream()
                        .filter(nanos -> nanos >= start && nanos - start < secondNanos)
                        .count())
        .max()
        .orElse(0);
  }

  private final class Daemon {
    private final RequestedPauses pauses = new RequestedPauses(time);
    private final BrittleServers servers;

    Daemon(String id) {
      servers = new BrittleServers(network.join(id), time, pauses, new IgnoringListener());
      servers.start();
    }
  }

  private static final class IgnoringListener implements BrittleServers.Listener {
    @Override
    public void onNamed(InstanceKey server, double refusalsPerS) {}

    @Override
    public void onEnded(InstanceKey server) {}
  }
}
