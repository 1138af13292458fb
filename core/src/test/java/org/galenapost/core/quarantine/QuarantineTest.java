package org.galenapost.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.testing.FakePeers;
import org.galenapost.core.verdict.RefusalReason;
import org.junit.jupiter.api.Test;

class QuarantineTest {

  private static final RequestDigest CRASHING = digest(1);
  private static final RequestDigest HARMLESS = digest(2);

  private static final boolean EARLY = true;

  private final FakePeers peers = new FakePeers();
  private long nowNanos;
  private final Quarantine first = daemon("d1");
  private final Quarantine second = daemon("d2");

  @Test
  void refusesCrashingRequestOnEveryDaemonAfterTwoLosses() {
    // GIVEN
    first.onServerLost("s1", CRASHING, 0, true);

    // WHEN
    second.claim("s2", CRASHING);
    second.onServerLost("s2", CRASHING, 0, true);

    // THEN
    assertThat(first.place(CRASHING))
        .isInstanceOfSatisfying(
            Placement.Refused.class,
            it -> assertThat(it.refusal().reason()).isEqualTo(RefusalReason.QUARANTINED));
    assertThat(daemon("d3").place(CRASHING))
        .as("a daemon that starts later queries the others")
        .isInstanceOf(Placement.Refused.class);
  }

  @Test
  void neverRefusesHarmlessRequestOnTwoLostServers() {
    // GIVEN
    first.onServerLost("s1", CRASHING, 0, true);
    first.onServerLost("s1", HARMLESS, 300, EARLY);

    // WHEN
    first.claim("s2", CRASHING);
    boolean isOnlySuspect = second.claim("s2", HARMLESS);
    first.onServerLost("s2", CRASHING, 0, true);
    second.onServerLost("s2", HARMLESS, 300, EARLY);

    // THEN
    assertThat(isOnlySuspect).isFalse();
    assertThat(second.place(HARMLESS)).isInstanceOf(Placement.Isolated.class);
  }

  @Test
  void doesNotIsolateStreamingRequestAfterOneLoss() {
    // GIVEN
    first.onServerLost("s1", HARMLESS, 300, false);

    // WHEN
    Placement afterOne = first.place(HARMLESS);
    long suspectsOnSecond = second.suspectCount();
    first.onServerLost("s2", HARMLESS, 300, true);
    Placement afterTwo = second.place(HARMLESS);

    // THEN
    assertThat(afterOne).isEqualTo(new Placement.Anywhere());
    assertThat(suspectsOnSecond).as("one late loss is not sent to other daemons").isZero();
    assertThat(afterTwo).as("a loss while it resumes").isInstanceOf(Placement.Isolated.class);
  }

  @Test
  void refusesRequestThatCrashesServersMidStreamAfterThreeLosses() {
    // GIVEN
    first.onServerLost("s1", CRASHING, 300, false);
    first.onServerLost("s2", CRASHING, 300, true);

    // WHEN
    first.claim("s3", CRASHING);
    first.onServerLost("s3", CRASHING, 300, true);

    // THEN
    assertThat(second.place(CRASHING)).isInstanceOf(Placement.Refused.class);
  }

  @Test
  void clearsSuspectThatCompletes() {
    first.onServerLost("s1", HARMLESS, 300, EARLY);

    second.onSuccess(HARMLESS);

    assertThat(first.place(HARMLESS)).isEqualTo(new Placement.Anywhere());
  }

  @Test
  void attributesTheLossOfADataCentreToNoRequest() {
    for (int server = 0; server < 5; server++) {
      first.onServerLost("s" + server, digest(10 + server), 0, true);
    }

    assertThat(first.suspectCount()).isZero();
    assertThat(second.suspectCount()).isZero();
  }

  /**
   * Guards against refusing a harmless request: one request among many crashes every server that
   * runs it, and the requests are placed in random order.
   */
  @Property(tries = 200, seed = "4616")
  void crashingRequestEndsAtMostTwoServersAndNoOtherIsRefused(
      @ForAll @IntRange(min = 1, max = 40) int harmlessRequests, @ForAll Random random) {
    Quarantine daemon = daemon(new FakePeers(), "d1");
    List<RequestDigest> inFlight = new ArrayList<>(List.of(CRASHING));
    for (int i = 0; i < harmlessRequests; i++) {
      inFlight.add(digest(100 + i));
    }
    inFlight.forEach(digest -> daemon.onServerLost("s0", digest, 7, true));
    int losses = 1;
    Set<RequestDigest> waiting = new HashSet<>(inFlight);
    while (!waiting.isEmpty()) {
      RequestDigest next = List.copyOf(waiting).get(random.nextInt(waiting.size()));
      nowNanos += Duration.ofSeconds(3).toNanos();
      Placement placement = daemon.place(next);
      if (placement instanceof Placement.Refused) {
        assertThat(next).isEqualTo(CRASHING);
        waiting.remove(next);
        continue;
      }
      Set<String> claimed = ((Placement.Isolated) placement).claimedServerIds();
      String server = claimed.contains("s1") ? "s2" : "s1";
      daemon.claim(server, next);
      if (next.equals(CRASHING)) {
        losses++;
        daemon.onServerLost(server, next, 7, true);
      } else {
        daemon.release(server, next);
        daemon.onSuccess(next);
        waiting.remove(next);
      }
    }
    assertThat(losses).isEqualTo(2);
  }

  private Quarantine daemon(String id) {
    return daemon(peers, id);
  }

  private Quarantine daemon(FakePeers network, String id) {
    Quarantine quarantine =
        new Quarantine(
            network.bus(id), () -> Instant.ofEpochMilli(nowNanos / 1_000_000), this::now);
    quarantine.start();
    return quarantine;
  }

  private long now() {
    return nowNanos;
  }

  private static RequestDigest digest(int number) {
    return new RequestDigest("%032d".formatted(number));
  }
}
