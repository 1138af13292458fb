package org.galenapost.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HostileInputTest {

  private static final String REQUEST_HEAD =
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
          + FakeConfiguration.WORKSPACE_KEY
          + "\r\n";
  private static final long FUZZ_SEED = 20_261_203;
  private static final int FUZZ_ROUNDS = 300;

  private TestDaemon daemon;

  @BeforeEach
  void start() {
    daemon = TestDaemon.start("drain_notice_ms: 0, idle_timeout_ms: 400, body_timeout_ms: 400");
  }

  /** Whatever was sent, the daemon must still serve and hold no request. */
  @AfterEach
  void servesAfterwardsAndHoldsNoRequest() {
    assertThat(daemon.send(daemon.request(daemon.daemon.operatorPort(), "/readyz")).statusCode())
        .isEqualTo(200);
    assertThat(daemon.send(daemon.callerRequest("/nothing")).statusCode()).isEqualTo(404);
    await()
        .untilAsserted(
            () ->
                assertThat(daemon.send(daemon.operatorRequest("/v1/status")).body())
                    .contains("\"requests_in_progress\":0"));
    daemon.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{",
        "[]",
        "null",
        "\"text\"",
        "{\"model\":\"m1\"}",
        "{\"prompt\":\"p\"}",
        "{\"model\":7,\"prompt\":\"p\"}",
        "{\"model\":\"m1\",\"prompt\":\"p\"} trailing",
        "{\"model\":\"m1\",\"prompt\":\"p\",\"max_tokens\":0}",
        "{\"model\":\"m1\",\"prompt\":\"p\",\"max_tokens\":99999999999}",
        "{\"model\":\"m1\",\"prompt\":\"p\",\"temperature\":\"NaN\"}",
        "{\"model\":\"m1\",\"prompt\":\"p\",\"top_p\":-1}"
      })
  void refusesInvalidBody(String body) throws IOException {
    // WHEN
    String answer = exchange(REQUEST_HEAD + "Connection: close\r\n", body.getBytes(StandardCharsets.UTF_8));

    // THEN
    assertThat(answer).startsWith("HTTP/1.1 400").contains("bad-request", "\"not-run\"");
  }

  @Test
  void refusesBodyThatIsNotUtf8() throws IOException {
    // GIVEN
    byte[] body = "{\"model\":\"m1\",\"prompt\":\"xx\"}".getBytes(StandardCharsets.UTF_8);
    body[body.length - 3] = (byte) 0xff;

    // WHEN
    String answer = exchange(REQUEST_HEAD + "Connection: close\r\n", body);

    // THEN
    assertThat(answer).startsWith("HTTP/1.1 400").contains("bad-request");
  }

  @Test
  void refusesDeeplyNestedBody() throws IOException {
    // GIVEN
    String body = "{\"model\":\"m1\",\"prompt\":\"p\",\"extra\":" + "[".repeat(20_000);

    // WHEN
    String answer = exchange(REQUEST_HEAD + "Connection: close\r\n", body.getBytes(StandardCharsets.UTF_8));

    // THEN
    assertThat(answer).startsWith("HTTP/1.1 400");
  }

  private String exchange(String head, byte[] body) throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
      connection.send(head + "Content-Length: " + body.length + "\r\n\r\n").send(body);
      return connection.readToEnd();
    }
  }

  @Test
  void refusesOversizedBodyWithoutReadingIt() throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
      // WHEN
      connection.send(REQUEST_HEAD + "Content-Length: 100000000\r\n\r\n");

      // THEN
      assertThat(connection.readToEnd()).startsWith("HTTP/1.1 413").contains("body-too-large");
      assertThat(daemon.metrics())
          .contains("galenapost_refusals_total{reason=\"body-too-large\",verdict=\"not-run\"} 1.0");
    }
  }

  @Test
  void refusesChunkedBodyThatGrowsTooLarge() throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
      // WHEN
      connection.send(REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n");
      for (int chunk = 0; chunk < 20; chunk++) {
        connection.send("1000\r\n" + "x".repeat(4096) + "\r\n");
      }

      // THEN
      assertThat(connection.readToEnd()).startsWith("HTTP/1.1 413");
    }
  }

  @Test
  void refusesOversizedHeader() throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
      // WHEN
      connection.send(REQUEST_HEAD + "X-Long: " + "x".repeat(8000) + "\r\n\r\n");

      // THEN
      assertThat(connection.readToEnd()).startsWith("HTTP/1.1 400");
      assertThat(daemon.metrics())
          .contains("galenapost_refusals_total{reason=\"bad-request\",verdict=\"not-run\"} 1.0");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Authorization: Bearer wrong\r\n", "Authorization: Basic eA==\r\n"})
  void refusesCallerWithoutValidKey(String authorization) throws IOException {
    // WHEN
    String answer =
        exchange(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + authorization,
            "{\"model\":\"m1\",\"prompt\":\"p\"}".getBytes(StandardCharsets.UTF_8));

    // THEN
    assertThat(answer).startsWith("HTTP/1.1 401").contains("unauthenticated");
    assertThat(daemon.generations.started).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/v1/services/quotes",
        "/v1/services/../operator/x",
        "/v1/services/quotes/../../x",
        "/v1/services/quo%2ftes/x",
        "/v1/completions/x",
        "*"
      })
  void reportsUnknownPathsAsNotFound(String path) throws IOException {
    // WHEN
    String answer =
        exchange(REQUEST_HEAD.replace("/v1/completions", path) + "Connection: close\r\n", new byte[0]);

    // THEN
    assertThat(answer).startsWith("HTTP/1.1 404");
  }

  @Test
  void closesConnectionWhoseRequestHeadArrivesTooSlowly() throws Exception {
    try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
      // WHEN
      for (int index = 0; index < 10; index++) {
        connection.send(REQUEST_HEAD.substring(index, index + 1));
        Thread.sleep(80);
      }

      // THEN
      assertThat(connection.readToEnd()).isEmpty();
    }
  }

  @Test
  void refusesBodyThatArrivesTooSlowly() throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
      // WHEN
      connection.send(REQUEST_HEAD + "Content-Length: 500\r\n\r\n{");

      // THEN
      assertThat(connection.readToEnd())
          .startsWith("HTTP/1.1 408")
          .contains("caller-too-slow", "\"not-run\"");
    }
  }

  @Test
  void answersPipelinedRequestsInOrderAndStopsAtMalformedOne() throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
      // GIVEN
      String get = REQUEST_HEAD.replace("POST /v1/completions", "GET /nothing") + "\r\n";

      // WHEN
      connection.send(get.repeat(50) + "\u0000\u0001 garbage\r\n\r\n" + get);
      String answers = connection.readToEnd();

      // THEN
      assertThat(answers.split("HTTP/1.1 404", -1)).hasSize(51);
      assertThat(answers.split("HTTP/1.1 400", -1)).hasSize(2);
    }
  }

  @Test
  void closesConnectionsBeyondTheLimit() throws IOException {
    // GIVEN
    List<RawConnection> open = new ArrayList<>();
    for (int index = 0; index < TestDaemon.MAX_CONNECTIONS; index++) {
      open.add(RawConnection.to(daemon.daemon.callerPort()));
    }

    // WHEN
    String answer;
    try (RawConnection extra = RawConnection.to(daemon.daemon.callerPort())) {
      answer = extra.readToEnd();
    }

    // THEN
    assertThat(answer).isEmpty();
    assertThat(daemon.metrics())
        .contains("galenapost_connections_refused_total{role=\"caller\"} 1.0");
    for (RawConnection connection : open) {
      connection.close();
    }
    await()
        .untilAsserted(
            () -> assertThat(daemon.metrics()).contains("galenapost_caller_connections 0.0"));
  }

  @Test
  void survivesTruncatedRequests() throws IOException {
    // GIVEN
    String whole = REQUEST_HEAD + "Content-Length: 30\r\n\r\n{\"model\":\"m1\",\"prompt\":\"p\"}    ";

    // WHEN
    for (int length = 0; length < whole.length(); length++) {
      try (RawConnection connection = RawConnection.to(daemon.daemon.callerPort())) {
        connection.send(whole.substring(0, length));
      }
    }

    // THEN
    assertThat(daemon.generations.started).isEmpty();
  }

  @Test
  void survivesRandomBytesAndMutatedRequests() throws IOException {
    // GIVEN
    Random random = new Random(FUZZ_SEED);

    // WHEN
    for (int round = 0; round < FUZZ_ROUNDS; round++) {
      int port = random.nextBoolean() ? daemon.daemon.callerPort() : daemon.daemon.operatorPort();
      try (RawConnection connection = RawConnection.to(port)) {
        connection.send(round % 2 == 0 ? randomBytes(random) : mutatedRequest(random)).endOutput();
      }
    }

    // THEN
    daemon.generations.started.forEach(generation -> generation.sink.onFinish("stop"));
  }

  private static byte[] randomBytes(Random random) {
    byte[] bytes = new byte[random.nextInt(3000)];
    random.nextBytes(bytes);
    return bytes;
  }

  private static byte[] mutatedRequest(Random random) {
    String request = REQUEST_HEAD + "Content-Length: 28\r\n\r\n{\"model\":\"m1\",\"prompt\":\"p\"} ";
    byte[] bytes = request.repeat(1 + random.nextInt(3)).getBytes(StandardCharsets.UTF_8);
    for (int change = 0; change < 1 + random.nextInt(8); change++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    return bytes;
  }
}
