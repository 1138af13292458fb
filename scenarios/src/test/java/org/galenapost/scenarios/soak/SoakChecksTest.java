package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.Writer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.scenarios.soak.CallRecord.Kind;
import org.galenapost.scenarios.soak.CallRecord.Outcome;
import org.galenapost.standins.gateway.RawHttpClient;
import org.galenapost.standins.gateway.ServerAnswer;
import org.galenapost.standins.gateway.ServerStandin;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.junit.jupiter.api.Test;

class SoakChecksTest {

  private static final String KEY = SoakFaults.KEYS.get(0);
  private static final String OTHER_KEY = SoakFaults.KEYS.get(1);
  private static final String SERVER = "app0-0";
  private static final long MS = Duration.ofMillis(1).toNanos();

  private final SoakHistory history = new SoakHistory(new PrintWriter(Writer.nullWriter()));
  private final Map<String, List<ServerStandin.Run>> runs = new HashMap<>();
  private final List<ServerAnswer> serverAnswers = new ArrayList<>();
  private final long now = System.nanoTime() + Duration.ofSeconds(10).toNanos();

  @Test
  void acceptsServedCalls() {
    allowKeys(KEY);
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));
    recordRun("c2", Kind.STREAM, now, Map.of());
    recordCall(
        "c2",
        Kind.STREAM,
        KEY,
        Outcome.ANSWERED,
        answer("c2", 200, ServerStandin.eventsAfter(0, "c2")));

    assertThat(violations()).isEmpty();
  }

  @Test
  void acceptsRefusalByDaemonThatIsNotReadyAgainAfterAPlannedRestart() {
    allowKeys(KEY);
    history.onTermination(0);
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, unsealed(503, "not ready"));

    assertThat(violations()).isEmpty();
  }

  @Test
  void reportsRefusalByDaemonThatIsReadyAgainAfterAPlannedRestart() {
    allowKeys(KEY);
    history.onTermination(0).end();
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, unsealed(503, "not ready"));

    assertThat(violations()).singleElement().asString().contains("was not served");
  }

  @Test
  void reportsRunOfUnknownCall() {
    recordRun("c1", Kind.ONCE, now, Map.of());

    assertThat(violations()).singleElement().asString().contains("which nobody sent");
  }

  @Test
  void reportsCallThatRanTwice() {
    allowKeys(KEY);
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));

    assertThat(violations()).singleElement().asString().contains("ran more than once");
  }

  @Test
  void reportsNotRunStatusOfCallThatRan() {
    allowKeys(KEY);
    disturbAllDaemons();
    recordRun("c1", Kind.IDEMPOTENT, now, Map.of());
    recordCall("c1", Kind.IDEMPOTENT, KEY, Outcome.ANSWERED, unsealed(503, ""));

    assertThat(violations()).singleElement().asString().contains("refused as not run");
  }

  @Test
  void reportsResponseOfAnotherCall() {
    allowKeys(KEY);
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c2", 200, "answer of " + SERVER));

    assertThat(violations()).singleElement().asString().contains("not its server's answer");
  }

  @Test
  void acceptsFailureOfServerUnderItsSeal() {
    allowKeys(KEY);
    disturbServers();
    recordFailedRun("c1", Kind.ONCE);
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 500, "failed by " + SERVER));
    recordFailedRun("c2", Kind.STREAM);
    recordCall("c2", Kind.STREAM, KEY, Outcome.ANSWERED, answer("c2", 500, "failed by " + SERVER));

    assertThat(violations()).isEmpty();
  }

  @Test
  void acceptsSuccessOfServerAfterFailureOfAnother() {
    allowKeys(KEY);
    recordFailedRun("c1", Kind.IDEMPOTENT);
    recordRun("c1", Kind.IDEMPOTENT, now, Map.of());
    recordCall(
        "c1", Kind.IDEMPOTENT, KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));

    assertThat(violations()).isEmpty();
  }

  @Test
  void reportsSuccessWhereServerAnsweredWithFailure() {
    allowKeys(KEY);
    recordFailedRun("c1", Kind.ONCE);
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));

    assertThat(violations()).singleElement().asString().contains("sealed answer that differs");
  }

  @Test
  void reportsBrokenOffSuccessWhereServerAnsweredWithFailure() {
    allowKeys(KEY);
    disturbServers();
    recordFailedRun("c1", Kind.ONCE);
    RawHttpClient.Response broken =
        new RawHttpClient.Response(200, sealHeaders("c1"), "failed", false);
    recordCall("c1", Kind.ONCE, KEY, Outcome.BROKEN_OFF, Optional.of(broken));

    assertThat(violations()).singleElement().asString().contains("sealed answer that differs");
  }

  @Test
  void reportsSealedFailureWithAnotherStatusThanTheServers() {
    allowKeys(KEY);
    disturbServers();
    recordFailedRun("c1", Kind.ONCE);
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 502, "failed by " + SERVER));

    assertThat(violations()).singleElement().asString().contains("sealed answer that differs");
  }

  @Test
  void reportsSealedFailureWhereServerAnsweredWithSuccess() {
    allowKeys(KEY);
    disturbServers();
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 500, "answer of " + SERVER));

    assertThat(violations()).singleElement().asString().contains("sealed answer that differs");
  }

  @Test
  void reportsSealedFailureWithTheSealOfAnotherCall() {
    allowKeys(KEY);
    disturbServers();
    recordFailedRun("c1", Kind.ONCE);
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c2", 500, "failed by " + SERVER));

    assertThat(violations()).singleElement().asString().contains("sealed answer that differs");
  }

  @Test
  void reportsStreamThatGoesOnAtAnotherSoftwareVersion() {
    allowKeys(KEY);
    recordRun("c1", Kind.STREAM, now, Map.of(), "v1");
    recordRun("c1", Kind.STREAM, now + MS, Map.of("Last-Event-Id", "3"), "v2");
    recordCall(
        "c1",
        Kind.STREAM,
        KEY,
        Outcome.ANSWERED,
        answer("c1", 200, ServerStandin.eventsAfter(0, "c1")));

    assertThat(violations()).singleElement().asString().contains("another software version");
  }

  @Test
  void acceptsStreamThatMovesBeforeItsFirstEvent() {
    allowKeys(KEY);
    recordRun("c1", Kind.STREAM, now, Map.of(), "v1");
    recordRun("c1", Kind.STREAM, now + MS, Map.of(), "v2");
    recordRun("c1", Kind.STREAM, now + 2 * MS, Map.of("Last-Event-Id", "3"), "v2");
    recordCall(
        "c1",
        Kind.STREAM,
        KEY,
        Outcome.ANSWERED,
        answer("c1", 200, ServerStandin.eventsAfter(0, "c1")));

    assertThat(violations()).isEmpty();
  }

  @Test
  void reportsTruncatedStreamThatLooksComplete() {
    allowKeys(KEY);
    recordRun("c1", Kind.STREAM, now, Map.of());
    String expected = ServerStandin.eventsAfter(0, "c1");
    recordCall(
        "c1", Kind.STREAM, KEY, Outcome.ANSWERED, answer("c1", 200, expected.substring(0, 60)));

    assertThat(violations()).singleElement().asString().contains("looks complete but is not");
  }

  @Test
  void reportsRepeatedEvents() {
    allowKeys(KEY);
    disturbAllDaemons();
    recordRun("c1", Kind.STREAM, now, Map.of());
    String repeated = "id: 1\ndata: event 1 of c1\n\n".repeat(2);
    RawHttpClient.Response broken =
        new RawHttpClient.Response(200, sealHeaders("c1"), repeated, false);
    recordCall("c1", Kind.STREAM, KEY, Outcome.BROKEN_OFF, Optional.of(broken));

    assertThat(violations()).singleElement().asString().contains("repeated or out of order");
  }

  @Test
  void reportsHeadersThatMustNotReachServers() {
    allowKeys(KEY);
    recordRun("c1", Kind.ONCE, now, Map.of("X-Credential", KEY));
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));

    assertThat(violations()).singleElement().asString().contains("headers that are not its own");
  }

  @Test
  void reportsRunAtDrainingServer() {
    allowKeys(KEY);
    history.onDrain(SERVER);
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));

    assertThat(violations()).singleElement().asString().contains("had said that it leaves");
  }

  @Test
  void acceptsRunAtDrainingServerWhileDaemonIsDisturbed() {
    allowKeys(KEY);
    history.onDrain(SERVER);
    disturbAllDaemons();
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));

    assertThat(violations()).isEmpty();
  }

  @Test
  void reportsCallServedWithRevokedKey() {
    allowKeys(KEY, OTHER_KEY);
    allowKeys(KEY);
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall(
        "c1", Kind.ONCE, OTHER_KEY, Outcome.ANSWERED, answer("c1", 200, "answer of " + SERVER));

    assertThat(violations()).singleElement().asString().contains("had been taken away");
  }

  @Test
  void reportsRefusalOfAlwaysAllowedKey() {
    allowKeys(KEY);
    disturbAllDaemons();
    recordCall("c1", Kind.ONCE, KEY, Outcome.ANSWERED, unsealed(401, ""));

    assertThat(violations()).singleElement().asString().contains("its key is allowed");
  }

  @Test
  void reportsUnservedCallWithoutDisturbance() {
    allowKeys(KEY);
    recordRun("c1", Kind.ONCE, now, Map.of());
    recordCall("c1", Kind.ONCE, KEY, Outcome.BROKEN_OFF, Optional.empty());

    assertThat(violations()).singleElement().asString().contains("nothing was disturbed");
  }

  @Test
  void reportsCallsHeldPastTheirRouteTimeout() {
    allowKeys(KEY);
    disturbServers();
    for (int i = 0; i < 4; i++) {
      recordCall("c" + i, Kind.ONCE, KEY, Outcome.SILENT, Optional.empty(), 3_600);
    }

    assertThat(violations()).hasSize(4).allMatch(line -> line.contains("past its route's"));
  }

  @Test
  void reportsRunsAfterCallersDisconnected() {
    allowKeys(KEY);
    for (int i = 0; i < 4; i++) {
      recordRun("c" + i, Kind.IDEMPOTENT, now + 900 * MS, Map.of());
      recordCall("c" + i, Kind.IDEMPOTENT, KEY, Outcome.LEFT, Optional.empty(), 100);
    }

    assertThat(violations()).hasSize(4).allMatch(line -> line.contains("had left"));
  }

  private List<String> violations() {
    return SoakChecks.violations(history, runs, serverAnswers);
  }

  private void allowKeys(String... keys) {
    history.onKeys(Set.of(keys));
  }

  private void disturbAllDaemons() {
    history.disturbances().begin(Disturbances.ALL);
  }

  private void disturbServers() {
    history.disturbances().begin(Disturbances.SERVERS);
  }

  /** Records a run that the server failed. */
  private void recordFailedRun(String id, Kind kind) {
    addRun(id, kind, now, Map.of(), "v1");
    serverAnswers.add(new ServerAnswer(id, 500, "failed by " + SERVER));
  }

  private void recordRun(String id, Kind kind, long beganNanos, Map<String, String> extraHeaders) {
    recordRun(id, kind, beganNanos, extraHeaders, "v1");
  }

  private void recordRun(
      String id, Kind kind, long beganNanos, Map<String, String> extraHeaders, String version) {
    addRun(id, kind, beganNanos, extraHeaders, version);
    if (kind != Kind.STREAM) {
      serverAnswers.add(new ServerAnswer(id, 200, ServerStandin.bodyOf(SERVER)));
    }
  }

  private void addRun(
      String id, Kind kind, long beganNanos, Map<String, String> extraHeaders, String version) {
    Map<String, String> headers = new HashMap<>(extraHeaders);
    headers.put("X-Tenant", StoreContentWriter.WORKSPACE);
    ServerStandin.Run run =
        new ServerStandin.Run(id, kind.prefix + id, headers, "", beganNanos, version);
    runs.computeIfAbsent(SERVER, server -> new ArrayList<>()).add(run);
  }

  private void recordCall(
      String id, Kind kind, String key, Outcome outcome, Optional<RawHttpClient.Response> answer) {
    recordCall(id, kind, key, outcome, answer, 100);
  }

  private void recordCall(
      String id,
      Kind kind,
      String key,
      Outcome outcome,
      Optional<RawHttpClient.Response> answer,
      long durationMs) {
    history.onCall(
        new CallRecord(
            id, kind, 0, key, now, now + durationMs * MS, outcome, answer, Optional.empty()));
  }

  private static Optional<RawHttpClient.Response> answer(
      String sealedCallId, int status, String body) {
    return Optional.of(new RawHttpClient.Response(status, sealHeaders(sealedCallId), body, true));
  }

  /** Returns an answer of the daemon itself. */
  private static Optional<RawHttpClient.Response> unsealed(int status, String body) {
    return Optional.of(new RawHttpClient.Response(status, Map.of(), body, true));
  }

  private static Map<String, String> sealHeaders(String id) {
    return Map.of("X-Attempt-Id", id, "X-Response-Seal", "seal-of-" + id);
  }
}
