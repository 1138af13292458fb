package org.galenapost.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class DrainTest {

  private static final String STREAMED = "{\"model\":\"m1\",\"prompt\":\"p\",\"stream\":true}";

  @Test
  void finishesStreamInProgressBeforeItStops() throws Exception {
    // GIVEN
    TestDaemon daemon = TestDaemon.start("drain_notice_ms: 300, drain_limit_ms: 20000");
    CompletableFuture<HttpResponse<String>> answer = daemon.sendCompletion(STREAMED);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);
    generation.sendToken(0);

    // WHEN
    CompletableFuture<Void> drain = CompletableFuture.runAsync(daemon.daemon::drainAndStop);
    await().until(() -> readiness(daemon).statusCode() == 503);
    int statusDuringNotice = daemon.send(daemon.callerRequest("/nothing")).statusCode();
    await().until(() -> readiness(daemon).body().contains("draining"));
    boolean isDrainedEarly = drain.isDone();

    // THEN
    assertThat(statusDuringNotice)
        .as("requests are served until the balancer notices")
        .isEqualTo(404);
    assertThat(isDrainedEarly).isFalse();
    assertThatThrownBy(() -> RawConnection.to(daemon.daemon.callerPort()))
        .isInstanceOf(ConnectException.class);
    generation.sendToken(1);
    generation.sink.onFinish("stop");
    assertThat(answer.get().body()).contains("\"offset\":0", "\"offset\":1", "[DONE]");
    drain.get();
  }

  private static HttpResponse<String> readiness(TestDaemon daemon) {
    return daemon.send(daemon.request(daemon.daemon.operatorPort(), "/readyz"));
  }

  @Test
  void refusesNewRequestOnOpenConnectionWhileItDrains() throws Exception {
    // GIVEN
    TestDaemon daemon = TestDaemon.start("drain_notice_ms: 0, drain_limit_ms: 20000");
    CompletableFuture<HttpResponse<String>> answer = daemon.sendCompletion(STREAMED);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);
    try (RawConnection idle = RawConnection.to(daemon.daemon.callerPort())) {
      idle.send("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")
          .readUntil("unauthenticated\",\"request");

      // WHEN
      CompletableFuture<Void> drain = CompletableFuture.runAsync(daemon.daemon::drainAndStop);
      await().until(() -> readiness(daemon).body().contains("draining"));
      idle.send("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n");

      // THEN
      assertThat(idle.readToEnd()).contains("HTTP/1.1 503", "shutting-down", "\"not-run\"");
      generation.sink.onFinish("stop");
      assertThat(answer.get().body()).contains("[DONE]");
      drain.get();
    }
  }

  @Test
  void stopsAtDrainLimitWhileStreamIsInProgress() {
    // GIVEN
    TestDaemon daemon = TestDaemon.start("drain_notice_ms: 0, drain_limit_ms: 200");
    CompletableFuture<HttpResponse<String>> answer = daemon.sendCompletion(STREAMED);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);
    generation.sendToken(0);

    // WHEN
    daemon.daemon.drainAndStop();

    // THEN
    await().until(answer::isCompletedExceptionally);
    assertThat(generation.isCancelled).isTrue();
  }

  @Test
  void waitsForActionWhoseCallerHasDisconnected() throws Exception {
    // GIVEN
    CountDownLatch mayAnswer = new CountDownLatch(1);
    FakeActionGate gate = new FakeActionGate();
    TestDaemon daemon = TestDaemon.startWithGate(gate);
    try (FakeService service = FakeService.respondingAfter(mayAnswer, 200, "ok")) {
      daemon.configuration.addService("s1", service.port());
      CompletableFuture<HttpResponse<String>> answer =
          daemon.sendAsync(
              daemon
                  .callerRequest("/v1/services/quotes/issue")
                  .header("Galenapost-Profile", "once")
                  .header("Idempotency-Key", "k1")
                  .GET());
      await().until(() -> !service.requestHeads.isEmpty());
      answer.cancel(true);

      // WHEN
      CompletableFuture<Void> drain = CompletableFuture.runAsync(daemon.daemon::drainAndStop);
      await().until(() -> readiness(daemon).body().contains("draining"));
      boolean isDrainedEarly = drain.isDone();
      mayAnswer.countDown();
      drain.get();

      // THEN
      assertThat(isDrainedEarly).isFalse();
      assertThat(gate.events).containsExactly("try-send", "ran 200 ok");
    }
  }
}
