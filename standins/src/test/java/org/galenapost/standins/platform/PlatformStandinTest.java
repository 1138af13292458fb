package org.galenapost.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.galenapost.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformStandinTest {

  private static final String OBJECT_PATH = "/v1/objects/profile/x";
  private static final int MAX_HISTORY_CHANGES = 3;

  private final PlatformStandin platform = new PlatformStandin(0, MAX_HISTORY_CHANGES);
  private TestHttpClient http;

  @BeforeEach
  void start() {
    platform.start();
    http = new TestHttpClient(platform.port());
  }

  @AfterEach
  void stop() {
    platform.stop();
  }

  @Test
  void appliesAWriteOnlyIfThePreconditionHolds() {
    // WHEN
    int created = put("{\"a\":1}", "If-None-Match", "*");
    int createdTwice = put("{\"a\":2}", "If-None-Match", "*");
    int updated = put("{\"a\":3}", "If-Match", "\"1\"");
    int conflict = put("{\"a\":4}", "If-Match", "\"1\"");
    int unconditional = put("{\"a\":5}");

    // THEN
    assertThat(new int[] {created, createdTwice, updated, conflict, unconditional})
        .containsExactly(200, 412, 200, 412, 428);
    assertThat(http.call("GET", OBJECT_PATH, "").body())
        .isEqualTo("{\"kind\":\"profile\",\"name\":\"x\",\"version\":2,\"value\":{\"a\":3}}");
  }

  @Test
  void returnsTheCurrentObjectOrAnEmptyDocumentOnAConflict() {
    // GIVEN
    put("{}", "If-None-Match", "*");

    // WHEN
    JsonNode current = http.json("PUT", OBJECT_PATH, "{}", "If-Match", "\"9\"");
    JsonNode absent = http.json("PUT", "/v1/objects/profile/y", "{}", "If-Match", "\"9\"");

    // THEN
    assertThat(current.path("version").asInt()).isEqualTo(1);
    assertThat(absent).isEmpty();
  }

  @Test
  void rejectsAValueOverOneMebibyte() {
    // GIVEN
    String value = "{\"a\":\"" + "x".repeat(1024 * 1024) + "\"}";

    // THEN
    assertThat(put(value, "If-None-Match", "*")).isEqualTo(413);
  }

  @Test
  void completesAWatchWhenItsKindChanges() {
    // GIVEN
    CompletableFuture<JsonNode> watch =
        CompletableFuture.supplyAsync(() -> watch("profile", 0, 60_000));

    // WHEN
    http.call("PUT", "/v1/objects/lease/l", "{}", "If-None-Match", "*");
    put("{}", "If-None-Match", "*");

    // THEN
    JsonNode changes = watch.join();
    assertThat(changes.at("/updated/0/name").asText()).isEqualTo("x");
    assertThat(changes.path("revision").asInt()).isEqualTo(2);
  }

  @Test
  void reportsDeletionsAndADiscardedRevision() {
    // GIVEN
    put("{}", "If-None-Match", "*");
    http.call("DELETE", OBJECT_PATH, "", "If-Match", "\"1\"");

    // WHEN
    JsonNode deleted = watch("profile", 1, 0);
    put("{}", "If-None-Match", "*");
    put("{}", "If-Match", "\"3\"");
    JsonNode forgotten = watch("profile", 0, 0);

    // THEN
    assertThat(deleted.at("/deleted/0").asText()).isEqualTo("x");
    assertThat(forgotten.path("reset").asBoolean()).isTrue();
  }

  @Test
  void rejectsCallsAndEndsWatchesDuringAnOutage() {
    // GIVEN
    CompletableFuture<Integer> watch =
        CompletableFuture.supplyAsync(
            () -> http.call("GET", watchPath("profile", 0, 60_000), "").statusCode());

    // WHEN
    http.post("/standin/outage", "{}");
    int during = put("{}", "If-None-Match", "*");
    int watched = watch.join();
    http.post("/standin/outage", "{\"enabled\":false}");

    // THEN
    assertThat(during).isEqualTo(503);
    assertThat(watched).isEqualTo(503);
    assertThat(http.call("GET", OBJECT_PATH, "").statusCode())
        .as("object after a write rejected by the outage")
        .isEqualTo(404);
  }

  @Test
  void dropsTheResponseOfAnAppliedWrite() {
    // GIVEN
    http.post("/standin/lose-answers", "{\"count\":1,\"kind\":\"profile\"}");

    // THEN
    assertThatThrownBy(() -> put("{}", "If-None-Match", "*"))
        .isInstanceOf(UncheckedIOException.class);
    assertThat(http.json("GET", OBJECT_PATH, "").path("version").asInt()).isEqualTo(1);
    assertThat(put("{}", "If-Match", "\"1\""))
        .as("status of the write after the dropped response")
        .isEqualTo(200);
  }

  @Test
  void rejectsWritesOverTheRateLimitAndCountsAllCalls() {
    // GIVEN
    http.post("/standin/rates", "{\"writes_per_second\":1,\"reads_per_second\":0}");
    http.post("/standin/counts/reset", "");

    // WHEN
    int rejectedCount = 0;
    for (int i = 0; i < 5; i++) {
      rejectedCount += put("{}", "If-None-Match", "*") == 429 ? 1 : 0;
    }
    JsonNode counts = http.json("GET", "/standin/counts", "");

    // THEN
    assertThat(rejectedCount).isPositive();
    assertThat(counts.path("writes").asInt()).isEqualTo(5);
    assertThat(counts.path("rate_limited_calls").asInt()).isEqualTo(rejectedCount);
    assertThat(counts.at("/calls/0/kind").asText()).isEqualTo("profile");
  }

  @Test
  void servesTheListOfHosts() {
    // GIVEN
    String host =
        "{\"ip\":\"127.0.0.1\",\"port\":1,\"role\":\"engine\",\"id\":\"e1\","
            + "\"data_centre\":\"dc1\",\"state\":\"leaving\"}";

    // WHEN
    http.call("PUT", "/standin/hosts", "{\"hosts\":[" + host + "]}");

    // THEN
    assertThat(http.call("GET", "/v1/hosts", "").body())
        .isEqualTo("{\"revision\":1,\"hosts\":[" + host + "]}");
  }

  private int put(String value, String... headers) {
    return http.call("PUT", OBJECT_PATH, value, headers).statusCode();
  }

  private JsonNode watch(String kind, long since, long waitMs) {
    return http.json("GET", watchPath(kind, since, waitMs), "");
  }

  private static String watchPath(String kind, long since, long waitMs) {
    return "/v1/objects/%s?watch=true&since=%d&wait_ms=%d".formatted(kind, since, waitMs);
  }
}
