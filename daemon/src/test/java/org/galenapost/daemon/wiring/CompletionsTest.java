package org.galenapost.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CompletionsTest {

  private static final String STREAMED =
      "{\"model\":\"m1\",\"prompt\":\"hello\",\"max_tokens\":3,\"stream\":true}";
  private static final ObjectMapper JSON = new ObjectMapper();

  private TestDaemon daemon;

  @BeforeEach
  void start() {
    daemon = TestDaemon.start();
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  @Test
  void streamsOneEventPerTokenWithItsResumeHandle() {
    // GIVEN
    CompletableFuture<HttpResponse<String>> answer = daemon.sendCompletion(STREAMED);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sendToken(0);
    generation.sendToken(1);
    generation.sink.onFinish("stop");

    // THEN
    HttpResponse<String> response = answer.join();
    String id = generation.request.generationId();
    assertThat(response.headers().firstValue("Galenapost-Request-Id")).isPresent();
    assertThat(response.body())
        .isEqualTo(
            """
            id: h0
            data: {"id":"ID","object":"text_completion","model":"m1",\
            "choices":[{"index":0,"text":"t0 ","finish_reason":null}],"galenapost":{"offset":0}}

            id: h1
            data: {"id":"ID","object":"text_completion","model":"m1",\
            "choices":[{"index":0,"text":"t1 ","finish_reason":null}],"galenapost":{"offset":1}}

            data: {"id":"ID","object":"text_completion","model":"m1",\
            "choices":[{"index":0,"text":"","finish_reason":"stop"}]}

            data: [DONE]

            """
                .replace("ID", id));
  }

  @Test
  void returnsOneDocumentAndDiscardsTokensOfReplacedGeneration() throws Exception {
    // GIVEN
    CompletableFuture<HttpResponse<String>> answer =
        daemon.sendCompletion("{\"model\":\"m1\",\"prompt\":\"hello\"}");
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sendToken(9);
    generation.sink.onNewGeneration("g-2");
    generation.sendToken(0);
    generation.sendToken(1);
    generation.sink.onFinish("length");

    // THEN
    JsonNode document = JSON.readTree(answer.join().body());
    assertThat(document.at("/id").asText()).isEqualTo("g-2");
    assertThat(document.at("/choices/0/text").asText()).isEqualTo("t0 t1 ");
    assertThat(document.at("/choices/0/finish_reason").asText()).isEqualTo("length");
  }

  @Test
  void refusesWithProblemDocumentBeforeTheFirstToken() throws Exception {
    // GIVEN
    CompletableFuture<HttpResponse<String>> answer = daemon.sendCompletion(STREAMED);

    // WHEN
    daemon
        .awaitGeneration(0)
        .sink
        .onRefusal(
            Refusal.notRun(RefusalReason.QUEUE_FULL, "full")
                .withRetryAfter(Duration.ofMillis(1200)));

    // THEN
    HttpResponse<String> response = answer.join();
    JsonNode problem = JSON.readTree(response.body());
    assertThat(response.statusCode()).isEqualTo(429);
    assertThat(response.headers().firstValue("Retry-After")).contains("2");
    assertThat(problem.get("verdict").asText()).isEqualTo("not-run");
    assertThat(problem.get("retry_after_ms").asLong()).isEqualTo(1200);
    assertThat(daemon.metrics())
        .contains("galenapost_refusals_total{reason=\"queue-full\",verdict=\"not-run\"} 1.0");
  }

  @Test
  void endsStreamWithErrorEventAfterTheFirstToken() {
    // GIVEN
    CompletableFuture<HttpResponse<String>> answer = daemon.sendCompletion(STREAMED);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sendToken(0);
    generation.sink.onRefusal(Refusal.mayHaveRun(RefusalReason.SERVER_LOST, "gone"));

    // THEN
    assertThat(answer.join().body())
        .contains("event: error\ndata: {\"type\":\"urn:galenapost:server-lost\"")
        .doesNotContain("[DONE]");
  }

  @Test
  void reusesGenerationIdOnlyForSameKeyAndBody() {
    // GIVEN
    sendWithKey("k1", STREAMED);
    sendWithKey("k1", STREAMED);
    sendWithKey("k1", STREAMED.replace("hello", "other"));
    sendWithKey("k2", STREAMED);

    // WHEN
    daemon.awaitGeneration(3);

    // THEN
    assertThat(daemon.generations.started.stream().map(one -> one.request.generationId()))
        .hasSize(4)
        .doesNotContainNull();
    assertThat(
            daemon.generations.started.stream()
                .map(one -> one.request.generationId() + one.request.seed())
                .distinct())
        .as("the two equal requests are one generation with one seed")
        .hasSize(3);
  }

  private void sendWithKey(String key, String body) {
    daemon.sendAsync(
        daemon
            .callerRequest("/v1/completions")
            .header("Idempotency-Key", key)
            .POST(BodyPublishers.ofString(body)));
  }

  @Test
  void passesResumeHandleOnAndUsesIdOfResumedGeneration() {
    // GIVEN
    CompletableFuture<HttpResponse<String>> answer =
        daemon.sendAsync(
            daemon
                .callerRequest("/v1/completions")
                .header("Last-Event-ID", "h41")
                .POST(BodyPublishers.ofString(STREAMED)));
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sink.onResumed("g-earlier");
    generation.sendToken(42);
    generation.sink.onFinish("stop");

    // THEN
    assertThat(generation.resumeHandle).isEqualTo("h41");
    assertThat(answer.join().body()).contains("\"id\":\"g-earlier\"", "\"offset\":42");
  }

  @Test
  void cancelsGenerationWhenCallerDisconnects() {
    // GIVEN
    CompletableFuture<HttpResponse<String>> answer = daemon.sendCompletion(STREAMED);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    answer.cancel(true);

    // THEN
    await().untilAsserted(() -> assertThat(generation.isCancelled).isTrue());
  }

  @Test
  void explainsRequestToOperators() throws Exception {
    // GIVEN
    HttpResponse<String> refused =
        daemon.send(daemon.callerRequest("/v1/completions").header("Galenapost-Profile", "absent").GET());
    String requestId = refused.headers().firstValue("Galenapost-Request-Id").orElseThrow();

    // WHEN
    HttpResponse<String> answer = daemon.send(daemon.operatorRequest("/v1/explain/" + requestId));

    // THEN
    JsonNode trace = JSON.readTree(answer.body());
    assertThat(trace.at("/outcome/reason").asText()).isEqualTo("unknown-profile");
    assertThat(trace.at("/outcome/workspace").asText()).isEqualTo("nordlys");
    assertThat(trace.at("/decisions/0/decision").asText()).isEqualTo("refused");
  }
}
