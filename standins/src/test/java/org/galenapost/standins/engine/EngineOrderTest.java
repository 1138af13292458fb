package org.galenapost.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

class EngineOrderTest {

  @Test
  void rejectsAStaleFencingNumberOfTheSameTask() {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // GIVEN
      fixture.http.post("/v1/orders", load("t1", 13, "v2"));

      // WHEN
      HttpResponse<String> old = fixture.http.call("POST", "/v1/orders", load("t1", 12, "v3"));
      HttpResponse<String> other = fixture.http.call("POST", "/v1/orders", load("t2", 1, "v4"));

      // THEN
      assertThat(old.statusCode()).isEqualTo(409);
      assertThat(old.body()).isEqualTo("{\"current_fencing_number\":13}");
      assertThat(other.statusCode()).isEqualTo(200);
      assertThat(state(fixture)).contains("v2", "v4");
      assertThat(state(fixture)).doesNotContain("v3");
    }
  }

  @Test
  void appliesAStaleFencingNumberWhenFencingIsDisabled() {
    try (EngineFixture fixture = EngineFixture.startWithoutFencing()) {
      // GIVEN
      fixture.http.post("/v1/orders", load("t1", 13, "v2"));

      // WHEN
      HttpResponse<String> old = fixture.http.call("POST", "/v1/orders", load("t1", 12, "v3"));

      // THEN
      assertThat(old.statusCode()).isEqualTo(200);
      await().until(() -> state(fixture).contains("\"v3\",\"adapters\":[],\"loading\":false"));
    }
  }

  @Test
  void servesTheNewestVersionUnlessOneIsNamed() {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // GIVEN
      fixture.http.post("/v1/orders", load("t1", 1, "v2"));
      await().until(() -> state(fixture).contains("\"v2\",\"adapters\":[],\"loading\":false"));

      // WHEN
      String newest =
          fixture
              .http
              .call("POST", "/v1/completions", EngineFixture.completionBody("g.1", "p", "[]", 1))
              .body();
      HttpResponse<String> unknown =
          fixture.http.call(
              "POST",
              "/v1/completions",
              EngineFixture.completionBody("g.2", "p", "[]", 1).replace("m1", "m9"));

      // THEN
      assertThat(newest).contains("\"version\":\"v2\"");
      assertThat(unknown.statusCode()).isEqualTo(404);
    }
  }

  private static String load(String task, long fencingNumber, String version) {
    return "{\"order_id\":\"o\",\"task\":\"%s\",\"fencing_number\":%d,\"action\":\"load-model\","
            .formatted(task, fencingNumber)
        + "\"model\":\"m1\",\"version\":\"%s\"}".formatted(version);
  }

  private static String state(EngineFixture fixture) {
    return fixture.http.call("GET", "/v1/state", "").body();
  }
}
