package org.galenapost.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import org.galenapost.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceStandinTest {

  private final ServiceStandin service = new ServiceStandin(0, () -> {});
  private TestHttpClient http;

  @BeforeEach
  void start() {
    service.start();
    http = new TestHttpClient(service.port());
  }

  @AfterEach
  void stop() {
    service.stop();
  }

  @Test
  void echoesAndCountsRunsByKey() {
    // WHEN
    call("k1");
    JsonNode echo = call("k1");

    // THEN
    assertThat(echo.path("run").asInt()).isEqualTo(2);
    assertThat(echo.path("path").asText()).isEqualTo("/quotes/7");
    assertThat(echo.path("body").asText()).isEqualTo("body");
    assertThat(runs()).isEqualTo("{\"k1\":2}");
  }

  @Test
  void runsACallWhoseAnswerIsLost() {
    // GIVEN
    http.post("/standin/lose-answers", "{\"count\":1}");

    // THEN
    assertThatThrownBy(() -> call("k1")).isInstanceOf(UncheckedIOException.class);
    assertThat(runs()).isEqualTo("{\"k1\":1}");
  }

  @Test
  void doesNotRunACallThatItRefuses() {
    // GIVEN
    http.post("/standin/refuse", "{\"count\":1}");

    // WHEN
    call("k1");

    // THEN
    assertThat(runs()).isEqualTo("{}");
  }

  private JsonNode call(String key) {
    return http.json("POST", "/quotes/7", "body", "Idempotency-Key", key);
  }

  private String runs() {
    return http.call("GET", "/standin/runs", "").body();
  }
}
