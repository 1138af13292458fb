package org.galenapost.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class OperatorPortTest {

  private TestDaemon daemon;

  @BeforeEach
  void start() {
    daemon = TestDaemon.start();
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  @ParameterizedTest
  @CsvSource({"/healthz, 200", "/readyz, 200", "/metrics, 200", "/v1/status, 401", "/nothing, 401"})
  void requiresTokenExceptForHealthAndMetrics(String path, int status) {
    // WHEN
    HttpResponse<String> answer = daemon.send(daemon.request(daemon.daemon.operatorPort(), path));

    // THEN
    assertThat(answer.statusCode()).isEqualTo(status);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "operator-token-123", "operator-token-12345", "key-of-the-workspace"})
  void refusesOtherTokens(String token) {
    // GIVEN
    HttpRequest.Builder request =
        daemon
            .request(daemon.daemon.operatorPort(), "/v1/status")
            .header("Authorization", "Bearer " + token);

    // WHEN
    HttpResponse<String> answer = daemon.send(request);

    // THEN
    assertThat(answer.statusCode()).isEqualTo(401);
  }

  @Test
  void refusesOperatorTokenOnTheCallerPort() {
    // GIVEN
    HttpRequest.Builder request =
        daemon
            .request(daemon.daemon.callerPort(), "/v1/completions")
            .header("Authorization", "Bearer " + TestDaemon.OPERATOR_TOKEN);

    // WHEN
    HttpResponse<String> answer = daemon.send(request);

    // THEN
    assertThat(answer.statusCode()).isEqualTo(401);
  }

  @Test
  void reportsStatus() {
    // GIVEN
    daemon.configuration.addService("s1", 9001);

    // WHEN
    HttpResponse<String> answer = daemon.send(daemon.operatorRequest("/v1/status"));

    // THEN
    assertThat(answer.body())
        .contains(
            "\"daemon_id\":\"d1\"",
            "\"phase\":\"serving\"",
            "\"configuration_revision\":3",
            "\"address\":\"127.0.0.1:9001\",\"kind\":\"service\"",
            "\"state\":\"live\"");
  }

  @Test
  void answersPipelinedRequestsInOrder() throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.operatorPort())) {
      // WHEN
      connection.send(
          "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"
              + "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");

      // THEN
      assertThat(connection.readToEnd()).containsSubsequence("1.1 200", "1.1 401", "1.1 200");
    }
  }

  @Test
  void refusesInvalidPercentEncodingInPath() throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.daemon.operatorPort())) {
      // WHEN
      connection.send(
          "GET /v1/explain/%zz HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
              + TestDaemon.OPERATOR_TOKEN
              + "\r\nConnection: close\r\n\r\n");

      // THEN
      assertThat(connection.readToEnd()).startsWith("HTTP/1.1 400");
    }
  }
}
