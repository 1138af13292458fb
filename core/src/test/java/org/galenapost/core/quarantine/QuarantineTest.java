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

  private static final RequestDigest CULPRIT = digest(1);
  private static final RequestDigest BYSTANDER = digest(2);

  private static final boolean EARLY = true;

  private final FakePeers peers = new FakePeers();
  private long nowNanos;
  private final Quarantine first = daemon("d1");
  private final Quarantine second = daemon("d2");

  @Test
  void refusesCulpritAfterTwoServersThroughEveryDaemon() {
    // GIVEN
    first.onServerLost("s1", CULPRIT, 0, true);

    // WHEN
    second.claim("s2", CULPRIT);
    second.onServerLost("s2", CULPRIT, 0, true);

    // THEN
    assertThat(first.place(CULPRIT))
        .isInstanceOfSatisfying(
            Placement.Refused.class,
            it -> assertThat(it.refusal().reason()).isEqualTo(RefusalReason.QUARANTINED));
    assertThat(daemon("d3").place(CULPRIT))
        .as("a daemon that starts later asks the others")
        .isInstanceOf(Placement.Refused.class);
  }

  @Test
  void neverRefusesBystanderOfTwoDeaths() {
    // GIVEN
    first.onServerLost("s1", CULPRIT, 0, true);
    first.onServerLost("s1", BYSTANDER, 300, EARLY);

    // WHEN
    first.claim("s2", CULPRIT);
    boolean isAlone = second.claim("s2", BYSTANDER);
    first.onServerLost("s2", CULPRIT, 0, true);
    second.onServerLost("s2", BYSTANDER, 300, EARLY);

    // THEN
    assertThat(isAlone).isFalse();
    assertThat(second.place(BYSTANDER)).isInstanceOf(Placement.Isolated.class);
  }

  @Test
  void leavesStreamingBystanderAlone() {
    // GIVEN
    first.onServerLost("s1", BYSTANDER, 300, false);

    // WHEN
    Placement afterOne = first.place(BYSTANDER);
    long toldOthers = second.suspectCount();
    first.onServerLost("s2", BYSTANDER, 300, true);
    Placement afterTwo = second.place(BYSTANDER);

    // THEN
    assertThat(afterOne).isEqualTo(new Placement.Anywhere());
    assertThat(toldOthers).as("one late death concerns no other daemon").isZero();
    assertThat(afterTwo).as("a death while it resumes").isInstanceOf(Placement.Isolated.class);
  }

  @Test
  void refusesCulpritThatCrashesInMidStreamAfterThree() {
    // GIVEN
    first.onServerLost("s1", CULPRIT, 300, false);
    first.onServerLost("s2", CULPRIT, 300, true);

    // WHEN
    first.claim("s3", CULPRIT);
    first.onServerLost("s3", CULPRIT, 300, true);

    // THEN
    assertThat(second.place(CULPRIT)).isInstanceOf(Placement.Refused.class);
  }

  @Test
  void clearsSuspectThatIsAnswered() {
    first.onServerLost("s1", BYSTANDER, 300, EARLY);

    second.onSuccess(BYSTANDER);

    assertThat(first.place(BYSTANDER)).isEqualTo(new Placement.Anywhere());
  }

  @Test
  void holdsTheLossOfADataCentreAgainstNobody() {
    for (int server = 0; server < 5; server++) {
      first.onServerLost("s" + server, digest(10 + server), 0, true);
    }

    assertThat(first.suspectCount()).isZero();
    assertThat(second.suspectCount()).isZero();
  }

  /** One culprit among many requests: each server that runs it dies, in any placement order. */
  @Property(tries = 200, seed = "4616")
  void culpritEndsAtMostTwoServersAndNoInnocentIsRefused(
      @ForAll @IntRange(min = 1, max = 40) int innocents, @ForAll Random random) {
    Quarantine daemon = daemon(new FakePeers(), "d1");
    List<RequestDigest> inFlight = new ArrayList<>(List.of(CULPRIT));
    for (int i = 0; i < innocents; i++) {
      inFlight.add(digest(100 + i));
    }
    inFlight.forEach(digest -> daemon.onServerLost("s0", digest, 7, true));
    int deaths = 1;
    Set<RequestDigest> waiting = new HashSet<>(inFlight);
    while (!waiting.isEmpty()) {
      RequestDigest next = List.copyOf(waiting).get(random.nextInt(waiting.size()));
      nowNanos += Duration.ofSeconds(3).toNanos();
      Placement placement = daemon.place(next);
      if (placement instanceof Placement.Refused) {
        assertThat(next).isEqualTo(CULPRIT);
        waiting.remove(next);
        continue;
      }
      Set<String> taken = ((Placement.Isolated) placement).claimedServerIds();
      String server = taken.contains("s1") ? "s2" : "s1";
      daemon.claim(server, next);
      if (next.equals(CULPRIT)) {
        deaths++;
        daemon.onServerLost(server, next, 7, true);
      } else {
        daemon.release(server, next);
        daemon.onSuccess(next);
        waiting.remove(next);
      }
    }
    assertThat(deaths).isEqualTo(2);
  }

  private Quarantine daemon(String id) {
    return daemon(peers, id);
  }

  private Quarantine daemon(FakePeers among, String id) {
    Quarantine quarantine =
        new Quarantine(among.bus(id), () -> Instant.ofEpochMilli(nowNanos / 1_000_000), this::now);
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
