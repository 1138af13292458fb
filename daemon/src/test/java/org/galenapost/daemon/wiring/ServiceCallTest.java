package org.galenapost.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.Collections;
import java.util.Optional;
import org.galenapost.core.action.ActionAnswer;
import org.galenapost.core.action.ActionDecision;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceCallTest {

  private final FakeActionGate gate = new FakeActionGate();
  private TestDaemon daemon;

  @BeforeEach
  void start() {
    daemon = TestDaemon.startWithGate(gate);
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  private HttpResponse<String> call(String profile) {
    HttpRequest.Builder request =
        daemon
            .callerRequest("/v1/services/quotes/issue?for=film")
            .header("Galenapost-Profile", profile)
            .header("Idempotency-Key", "k1")
            .header("Content-Type", "application/json")
            .POST(BodyPublishers.ofString("{}"));
    return daemon.send(request);
  }

  private static int unusedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  @Test
  void relaysResponseWithVerdict() throws IOException {
    try (FakeService service = FakeService.respondingWith(201, "quote 7")) {
      // GIVEN
      daemon.configuration.addService("s1", service.port());

      // WHEN
      HttpResponse<String> answer = call("once");

      // THEN
      assertThat(answer.statusCode()).isEqualTo(201);
      assertThat(answer.body()).isEqualTo("quote 7");
      assertThat(answer.headers().firstValue("Galenapost-Verdict")).contains("ran");
      assertThat(gate.events).containsExactly("try-send", "ran 201 quote 7");
      assertThat(service.requestHeads.get(0))
          .startsWith("POST /issue?for=film HTTP/1.1")
          .containsIgnoringCase("idempotency-key: k1")
          .containsIgnoringCase("galenapost-attempt: a-1")
          .doesNotContainIgnoringCase("authorization");
    }
  }

  @Test
  void reportsMayHaveRunAndDoesNotRetryWhenActionGetsNoResponse() throws IOException {
    try (FakeService first = FakeService.closingAfterRequest();
        FakeService second = FakeService.respondingWith(200, "ok")) {
      // GIVEN
      daemon.configuration.addService("s1", first.port());
      daemon.configuration.addService("s2", second.port());

      // WHEN
      HttpResponse<String> answer = call("once");

      // THEN
      assertThat(answer.statusCode()).isEqualTo(502);
      assertThat(answer.body()).contains("\"may-have-run\"");
      assertThat(gate.events).containsExactly("try-send", "outcome-unknown");
      assertThat(second.requestHeads).isEmpty();
    }
  }

  @Test
  void triesNextServerWhenActionWasNotSent() throws IOException {
    try (FakeService service = FakeService.respondingWith(200, "ok")) {
      // GIVEN
      daemon.configuration.addService("s1", unusedPort());
      daemon.configuration.addService("s2", service.port());

      // WHEN
      HttpResponse<String> answer = call("once");

      // THEN
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(gate.events).containsExactly("try-send", "ran 200 ok");
    }
  }

  @Test
  void releasesClaimWhenNoServerCanBeReached() throws IOException {
    // GIVEN
    daemon.configuration.addService("s1", unusedPort());

    // WHEN
    HttpResponse<String> answer = call("once");

    // THEN
    assertThat(answer.body()).contains("\"not-run\"");
    assertThat(gate.events).containsExactly("release");
  }

  @Test
  void sendsNothingWhenPermitHasExpired() throws IOException {
    try (FakeService service = FakeService.respondingWith(200, "ok")) {
      // GIVEN
      daemon.configuration.addService("s1", service.port());
      gate.maySend = false;

      // WHEN
      HttpResponse<String> answer = call("once");

      // THEN
      assertThat(answer.statusCode()).isEqualTo(503);
      assertThat(answer.body()).contains("\"not-run\"");
      assertThat(gate.events).containsExactly("try-send");
      assertThat(service.requestHeads).as("bytes that reached the service").allMatch(String::isEmpty);
    }
  }

  @Test
  void retriesIdempotentCallOnAnotherServer() throws IOException {
    try (FakeService first = FakeService.closingAfterRequest();
        FakeService second = FakeService.respondingWith(200, "ok")) {
      // GIVEN
      daemon.configuration.addService("s1", first.port());
      daemon.configuration.addService("s2", second.port());

      // WHEN
      HttpResponse<String> answer = call("default");

      // THEN
      assertThat(answer.body()).isEqualTo("ok");
      assertThat(first.requestHeads).hasSize(1);
      assertThat(gate.claimed).isEmpty();
    }
  }

  @Test
  void reportsWorstVerdictOfAllAttempts() throws IOException {
    try (FakeService first = FakeService.closingAfterRequest()) {
      // GIVEN
      daemon.configuration.addService("s1", first.port());
      daemon.configuration.addService("s2", unusedPort());

      // WHEN
      HttpResponse<String> answer = call("default");

      // THEN
      assertThat(answer.body()).as("the first attempt may have run").contains("\"may-have-run\"");
    }
  }

  @Test
  void identifiesActionByKeyAndBody() throws IOException {
    try (FakeService service = FakeService.respondingWith(200, "ok")) {
      // GIVEN
      daemon.configuration.addService("s1", service.port());

      // WHEN
      call("once");
      daemon.send(
          daemon
              .callerRequest("/v1/services/quotes/issue?for=film")
              .header("Galenapost-Profile", "once")
              .header("Idempotency-Key", "k1")
              .POST(BodyPublishers.ofString("{\"other\":1}")));

      // THEN
      assertThat(gate.claimed).hasSize(2);
      assertThat(gate.claimed).extracting("key").containsOnly("k1");
      assertThat(gate.claimed.get(0).bodyDigest()).isNotEqualTo(gate.claimed.get(1).bodyDigest());
    }
  }

  @Test
  void waitsForResponseOfSameActionInProgressOnAnotherDaemon() {
    // GIVEN
    Refusal inProgress = Refusal.mayHaveRun(RefusalReason.ACTION_IN_PROGRESS, "at d2");
    ActionAnswer recorded = new ActionAnswer(201, "text/plain", Optional.of("quote 7"));
    gate.plannedDecisions.add(Either.left(inProgress));
    gate.plannedDecisions.add(Either.left(inProgress));
    gate.plannedDecisions.add(Either.right(new ActionDecision.Recorded(recorded)));

    // WHEN
    HttpResponse<String> answer = call("once");

    // THEN
    assertThat(answer.statusCode()).isEqualTo(201);
    assertThat(answer.body()).isEqualTo("quote 7");
    assertThat(gate.events).as("nothing is sent").isEmpty();
  }

  @Test
  void refusesWhenTheSameActionStaysInProgress() {
    // GIVEN
    Refusal inProgress = Refusal.mayHaveRun(RefusalReason.ACTION_IN_PROGRESS, "at d2");
    gate.plannedDecisions.addAll(Collections.nCopies(20, Either.left(inProgress)));

    // WHEN
    HttpResponse<String> answer = call("once");

    // THEN
    assertThat(answer.statusCode()).isEqualTo(409);
    assertThat(answer.body()).contains("action-in-progress", "\"may-have-run\"");
    assertThat(gate.events).isEmpty();
  }

  @Test
  void requiresIdempotencyKeyForActions() {
    // GIVEN
    HttpRequest.Builder request =
        daemon.callerRequest("/v1/services/quotes/issue").header("Galenapost-Profile", "once").GET();

    // WHEN
    HttpResponse<String> answer = daemon.send(request);

    // THEN
    assertThat(answer.statusCode()).isEqualTo(400);
    assertThat(answer.body()).contains("idempotency-key-missing", "\"not-run\"");
  }
}
