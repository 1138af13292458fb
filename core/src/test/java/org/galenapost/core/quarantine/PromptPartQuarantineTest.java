package org.galenapost.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.testing.FakePeers;
import org.galenapost.core.testing.VirtualTime;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

class PromptPartQuarantineTest {

  private static final String DEADLY = "dead";
  private static final String SYSTEM = "5c1e";
  private static final List<String> DEADLY_REQUEST = List.of(SYSTEM, DEADLY);
  private static final List<String> SOUND_REQUEST = List.of(SYSTEM, "91bd");

  private final FakePeers peers = new FakePeers();
  private final VirtualTime time = new VirtualTime();
  private final Random random = new Random(2412);
  private final List<String> decisions = new ArrayList<>();
  private final PromptPartQuarantine first = daemon("d1");
  private final PromptPartQuarantine second = daemon("d2");

  @Test
  void refusesRequestsThatShareOnlyThePartThatCrashedThreeServers() {
    // GIVEN
    lose(first, "s1", List.of("11aa", DEADLY));
    lose(second, "s2", List.of("22bb", DEADLY));
    assertThat(first.check(List.of(DEADLY))).as("two losses may be chance").isEmpty();

    // WHEN
    lose(first, "s3", List.of("33cc", DEADLY));

    // THEN
    assertThat(second.check(List.of("44dd", DEADLY)))
        .hasValueSatisfying(
            refusal -> {
              assertThat(refusal.reason()).isEqualTo(RefusalReason.CRASHES_SERVERS);
              assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
            });
    assertThat(first.check(List.of("55ee", DEADLY))).isPresent();
    assertThat(decisions).containsExactly("d2 refused dead 3", "d1 refused dead 3");
  }

  @Test
  void runsSoundRequestsThatShareAnotherPartWithCrashingOnes() {
    // GIVEN
    for (int server = 0; server < 4; server++) {
      lose(first, "s" + server, DEADLY_REQUEST);
    }

    // WHEN, THEN
    assertThat(first.check(SOUND_REQUEST)).as("the other part explains each loss").isEmpty();
    assertThat(first.check(DEADLY_REQUEST)).isPresent();
  }

  @Test
  void runsSoundRequestsThatWereOnTheServersOfCrashingOnes() {
    // GIVEN
    for (int server = 0; server < 4; server++) {
      second.onServerLost("s" + server, List.of("91bd"));
      lose(first, "s" + server, List.of("1" + server, DEADLY));
    }

    // WHEN
    assertThat(first.check(List.of("91bd"))).isEmpty();
    second.onAnswered(List.of("91bd"));

    // THEN
    assertThat(first.check(List.of("99", DEADLY))).isPresent();
    assertThat(first.check(List.of("91bd"))).isEmpty();
  }

  @Test
  void attributesTheLossOfDataCentresToNoPart() {
    for (int dataCentre = 0; dataCentre < 5; dataCentre++) {
      for (int server = 0; server < 8; server++) {
        List<String> parts = server < 6 ? List.of(SYSTEM) : List.of("other" + server);
        first.onServerLost("s" + dataCentre + "-" + server, parts);
      }
      time.advance(Duration.ofSeconds(6));
    }

    assertThat(first.check(List.of(SYSTEM))).isEmpty();
  }

  @Test
  void countsServersThatAreLostTogetherOnce() {
    for (int server = 0; server < 8; server++) {
      first.onServerLost("s" + server, List.of(SYSTEM));
    }

    assertThat(first.check(List.of(SYSTEM))).isEmpty();
  }

  @Test
  void clearsPartOnEveryDaemonWhenAServerAnswers() {
    // GIVEN
    for (int server = 0; server < 3; server++) {
      lose(first, "s" + server, List.of(SYSTEM));
    }
    assertThat(first.check(List.of(SYSTEM))).isPresent();

    // WHEN
    second.onAnswered(List.of(SYSTEM));
    lose(first, "s9", List.of(SYSTEM));

    // THEN
    assertThat(first.check(List.of(SYSTEM))).as("one loss since the answer").isEmpty();
    assertThat(decisions).containsExactly("d1 refused 5c1e 3", "d1 cleared 5c1e");
  }

  @Test
  void daemonThatStartsOrWasCutOffLearnsThePartsThatTheOthersRefuse() {
    // GIVEN
    for (int server = 0; server < 3; server++) {
      lose(first, "s" + server, DEADLY_REQUEST);
    }
    assertThat(first.check(DEADLY_REQUEST)).isPresent();

    // WHEN
    PromptPartQuarantine restarted = daemon("d3");
    time.advance(Duration.ofSeconds(6));

    // THEN
    assertThat(restarted.check(DEADLY_REQUEST)).isPresent();
  }

  @Test
  void daemonThatMissedAnAnswerIsToldOfIt() {
    // GIVEN two daemons that refuse a part, one of which is cut off
    for (int server = 0; server < 3; server++) {
      lose(first, "s" + server, List.of(SYSTEM));
    }
    assertThat(first.check(List.of(SYSTEM))).isPresent();
    peers.setCut("d1", true);

    // WHEN a server answers at the other one
    second.onAnswered(List.of(SYSTEM));
    assertThat(first.check(List.of(SYSTEM))).isPresent();
    peers.setCut("d1", false);
    time.advance(Duration.ofSeconds(2));

    // THEN neither refuses it
    assertThat(first.check(List.of(SYSTEM))).isEmpty();
    assertThat(second.check(List.of(SYSTEM))).isEmpty();
  }

  @Test
  void forgetsTheOldestLossesWhenRequestsNameVeryManyParts() {
    // GIVEN
    for (int server = 0; server < 3; server++) {
      lose(first, "s" + server, DEADLY_REQUEST);
    }
    List<String> manyParts = IntStream.range(0, 10_000).mapToObj(i -> "p" + i).toList();

    // WHEN
    for (int server = 3; server < 7; server++) {
      lose(first, "s" + server, manyParts);
    }

    // THEN
    assertThat(first.check(DEADLY_REQUEST)).isEmpty();
    assertThat(first.check(manyParts.subList(0, 5))).as("losses that are kept").isEmpty();
  }

  /** The crashing requests are all new, so the sound one is the only suspect on its servers. */
  @Test
  void soundRequestIsNotRefusedForServersThatItSharedWithCrashingOnes() {
    // GIVEN
    RequestDigest sound = new RequestDigest("0123456789abcdef".repeat(2));
    Quarantine requests = new Quarantine(peers.bus("d4"), time, time, first::isCauseOfLoss);
    for (String serverId : List.of("s1", "s2")) {
      requests.claim(serverId, sound);
      requests.onServerLost(serverId, sound, 0, true);
      first.onServerLost(serverId, List.of("91bd"));
      lose(first, serverId, List.of("1" + serverId, DEADLY));
    }
    assertThat(requests.place(sound)).isInstanceOf(Placement.Refused.class);

    // WHEN
    lose(first, "s3", List.of("33cc", DEADLY));

    // THEN
    assertThat(requests.place(sound)).isEqualTo(new Placement.Anywhere());
  }

  @Test
  void stopsRequestsInProgressBeforeTheyCrashAnotherServer() {
    // GIVEN
    List<String> stopped = new ArrayList<>();
    second.watch("s5", List.of("44dd", DEADLY), refusal -> stopped.add("crashing"));
    second.watch("s6", List.of("44dd"), refusal -> stopped.add("sound"));
    second.watch("s7", List.of("55ee", DEADLY), refusal -> stopped.add("answered")).run();

    // WHEN
    lose(first, "s1", List.of("11aa", DEADLY));
    lose(first, "s2", List.of("22bb", DEADLY));
    assertThat(stopped).isEmpty();
    lose(first, "s3", List.of("33cc", DEADLY));
    lose(first, "s4", List.of("33cc", DEADLY));

    // THEN
    assertThat(stopped).containsExactly("crashing");
  }

  /**
   * Guards against sound requests that are refused for a server which a stopped request crashed
   * just before the stop had reached it.
   */
  @Test
  void blamesAStoppedRequestForItsServerWhileItMayStillRunThere() {
    // GIVEN a request that is stopped at its server
    List<String> stopped = new ArrayList<>();
    first.watch("s4", DEADLY_REQUEST, refusal -> stopped.add("crashing"));
    for (String serverId : List.of("s1", "s2", "s3")) {
      lose(first, serverId, DEADLY_REQUEST);
    }
    assertThat(stopped).containsExactly("crashing");

    // WHEN the server is lost, and a sound request with it
    lose(first, "s4", SOUND_REQUEST);

    // THEN the sound request is served by both daemons
    assertThat(first.check(SOUND_REQUEST)).isEmpty();
    assertThat(second.check(SOUND_REQUEST)).isEmpty();
    assertThat(first.check(DEADLY_REQUEST)).isPresent();
  }

  /**
   * Guards against a daemon that hangs when each of hundreds of daemons reports the loss of the
   * same server, as each report had all requests in progress checked.
   */
  @Test
  void checksRequestsInProgressOnceForReportsThatComeTogether() {
    // GIVEN requests in progress and two losses
    for (String serverId : List.of("s1", "s2")) {
      lose(first, serverId, List.of("11aa", DEADLY));
    }
    List<String> stopped = new ArrayList<>();
    second.watch("s5", DEADLY_REQUEST, refusal -> stopped.add("crashing"));
    int tasksBefore = time.pendingTasks();

    // WHEN many daemons report the next loss, each with other parts
    for (int daemon = 0; daemon < 500; daemon++) {
      first.onServerLost("s3", List.of("part" + daemon, DEADLY));
      time.advance(Duration.ofNanos(100_000));
    }

    // THEN few checks are due, and they stop the request as soon as the loss counts
    assertThat(time.pendingTasks() - tasksBefore).isLessThan(20);
    time.advance(PartLosses.SETTLING_TIME.minusMillis(49));
    assertThat(stopped).containsExactly("crashing");
  }

  private void lose(PromptPartQuarantine daemon, String serverId, List<String> partIds) {
    daemon.onServerLost(serverId, partIds);
    time.advance(Duration.ofSeconds(1));
  }

  private PromptPartQuarantine daemon(String id) {
    return daemon(peers, id);
  }

  private PromptPartQuarantine daemon(FakePeers network, String id) {
    PromptPartQuarantine quarantine =
        new PromptPartQuarantine(
            network.bus(id),
            time,
            time,
            random::nextDouble,
            new PromptPartQuarantine.Listener() {
              @Override
              public void onRefused(String partId, int lostServers) {
                decisions.add(id + " refused " + partId + " " + lostServers);
              }

              @Override
              public void onCleared(String partId) {
                decisions.add(id + " cleared " + partId);
              }
            });
    quarantine.start();
    return quarantine;
  }
}
