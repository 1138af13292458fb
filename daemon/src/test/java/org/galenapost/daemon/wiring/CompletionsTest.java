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

  private static final String STREAMING_BODY =
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
    CompletableFuture<HttpResponse<String>> responseFuture = daemon.sendCompletion(STREAMING_BODY);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sendToken(0);
    generation.sendToken(1);
    generation.sink.onFinish("stop");

    // THEN
    HttpResponse<String> response = responseFuture.join();
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
    CompletableFuture<HttpResponse<String>> responseFuture =
        daemon.sendCompletion("{\"model\":\"m1\",\"prompt\":\"hello\"}");
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sendToken(9);
    generation.sink.onNewGeneration("g-2");
    generation.sendToken(0);
    generation.sendToken(1);
    generation.sink.onFinish("length");

    // THEN
    JsonNode document = JSON.readTree(responseFuture.join().body());
    assertThat(document.at("/id").asText()).isEqualTo("g-2");
    assertThat(document.at("/choices/0/text").asText()).isEqualTo("t0 t1 ");
    assertThat(document.at("/choices/0/finish_reason").asText()).isEqualTo("length");
  }

  @Test
  void refusesWithProblemDocumentBeforeTheFirstToken() throws Exception {
    // GIVEN
    CompletableFuture<HttpResponse<String>> responseFuture = daemon.sendCompletion(STREAMING_BODY);

    // WHEN
    daemon
        .awaitGeneration(0)
        .sink
        .onRefusal(
            Refusal.notRun(RefusalReason.QUEUE_FULL, "full")
                .withRetryAfter(Duration.ofMillis(1200)));

    // THEN
    HttpResponse<String> response = responseFuture.join();
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
    CompletableFuture<HttpResponse<String>> responseFuture = daemon.sendCompletion(STREAMING_BODY);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sendToken(0);
    generation.sink.onRefusal(Refusal.mayHaveRun(RefusalReason.SERVER_LOST, "gone"));

    // THEN
    assertThat(responseFuture.join().body())
        .contains("event: error\ndata: {\"type\":\"urn:galenapost:server-lost\"")
        .doesNotContain("[DONE]");
  }

  @Test
  void reusesGenerationIdOnlyForSameKeyAndBody() {
    // GIVEN
    sendWithKey("k1", STREAMING_BODY);
    sendWithKey("k1", STREAMING_BODY);
    sendWithKey("k1", STREAMING_BODY.replace("hello", "other"));
    sendWithKey("k2", STREAMING_BODY);

    // WHEN
    daemon.awaitGeneration(3);

    // THEN
    assertThat(
            daemon.generations.started.stream()
                .map(generation -> generation.request.generationId()))
        .hasSize(4)
        .doesNotContainNull();
    assertThat(
            daemon.generations.started.stream()
                .map(generation -> generation.request.generationId() + generation.request.seed())
                .distinct())
        .as("the two equal requests share a generation id and a seed")
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
    CompletableFuture<HttpResponse<String>> responseFuture =
        daemon.sendAsync(
            daemon
                .callerRequest("/v1/completions")
                .header("Last-Event-ID", "h41")
                .POST(BodyPublishers.ofString(STREAMING_BODY)));
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    generation.sink.onResumed("g-earlier");
    generation.sendToken(42);
    generation.sink.onFinish("stop");

    // THEN
    assertThat(generation.resumeHandle).isEqualTo("h41");
    assertThat(responseFuture.join().body()).contains("\"id\":\"g-earlier\"", "\"offset\":42");
  }

  @Test
  void cancelsGenerationWhenCallerDisconnects() {
    // GIVEN
    CompletableFuture<HttpResponse<String>> responseFuture = daemon.sendCompletion(STREAMING_BODY);
    FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

    // WHEN
    responseFuture.cancel(true);

    // THEN
    await().untilAsserted(() -> assertThat(generation.isCancelled).isTrue());
  }

  @Test
  void explainsRequestToOperators() throws Exception {
    // GIVEN
    HttpResponse<String> refused =
        daemon.send(
            daemon.callerRequest("/v1/completions").header("Galenapost-Profile", "absent").GET());
    String requestId = refused.headers().firstValue("Galenapost-Request-Id").orElseThrow();

    // WHEN
    HttpResponse<String> response = daemon.send(daemon.operatorRequest("/v1/explain/" + requestId));

    // THEN
    JsonNode trace = JSON.readTree(response.body());
    assertThat(trace.at("/outcome/reason").asText()).isEqualTo("unknown-profile");
    assertThat(trace.at("/outcome/workspace").asText()).isEqualTo("nordlys");
    assertThat(trace.at("/decisions/0/decision").asText()).isEqualTo("refused");
  }
}
