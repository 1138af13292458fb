package org.galenapost.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.galenapost.standins.TestHttpClient;
import org.galenapost.standins.json.Json;
import org.junit.jupiter.api.Test;

class EngineStreamTest {

  private static final EngineText TEXT = EngineText.of("prompt", 7, "m1", "v1", Optional.empty());

  @Test
  void streamsTokensWithOffsetsAndTheFinishReason() {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // WHEN
      List<JsonNode> chunks =
          fixture.http.readChunks(
              "POST", "/v1/completions", EngineFixture.completionBody("g.1", "prompt", "[]", 50));

      // THEN
      assertThat(TestHttpClient.textOf(chunks)).isEqualTo(TEXT.text(50));
      assertThat(chunks.stream().map(chunk -> chunk.path("offset").asInt()))
          .containsExactlyElementsOf(IntStream.rangeClosed(0, 50).boxed().toList());
      assertThat(chunks.get(50).at("/choices/0/finish_reason").asText()).isEqualTo("length");
    }
  }

  @Test
  void continuesAfterAcceptedTokens() {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // GIVEN
      List<String> whole = TEXT.tokens(50);
      String accepted = Json.write(whole.subList(0, 30));

      // WHEN
      List<JsonNode> chunks =
          fixture.http.readChunks(
              "POST", "/v1/completions", EngineFixture.completionBody("g.2", "prompt", accepted, 50));

      // THEN
      assertThat(chunks.get(0).path("offset").asInt()).isEqualTo(30);
      assertThat(TestHttpClient.textOf(chunks)).isEqualTo(String.join("", whole.subList(30, 50)));
      assertThat(counts(fixture).path("tokens_generated").asInt()).isEqualTo(20);
    }
  }

  @Test
  void keepsGeneratingWithoutAReaderAndAllowsReattaching() throws IOException {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // GIVEN a reader that goes away after the first bytes
      HttpResponse<InputStream> first =
          fixture.http.openStream(
              "POST", "/v1/completions", EngineFixture.completionBody("g.1", "prompt", "[]", 200));
      assertThat(first.body().read()).isEqualTo('d');
      first.body().close();
      await().until(() -> counts(fixture).path("tokens_generated").asInt() == 200);

      // WHEN
      List<JsonNode> chunks = fixture.http.readChunks("GET", "/v1/generations/g.1?from=150", "");

      // THEN
      assertThat(TestHttpClient.textOf(chunks))
          .isEqualTo(String.join("", TEXT.tokens(200).subList(150, 200)));
    }
  }

  @Test
  void removesACancelledGeneration() throws IOException {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.SLOW_TOKEN_INTERVAL_MS)) {
      // GIVEN
      HttpResponse<InputStream> stream =
          fixture.http.openStream(
              "POST", "/v1/completions", EngineFixture.completionBody("g.1", "prompt", "[]", 100_000));
      assertThat(stream.body().read()).isEqualTo('d');

      // WHEN
      fixture.http.call("DELETE", "/v1/generations/g.1", "");

      // THEN
      assertThat(fixture.http.call("GET", "/v1/generations/g.1?from=0", "").statusCode())
          .isEqualTo(404);
      await().until(() -> load(fixture).path("running").asInt() == 0);
      assertThat(counts(fixture).path("cancelled").asInt()).isEqualTo(1);
    }
  }

  @Test
  void cutsAnEventInTheMiddleOfACharacter() throws IOException {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // GIVEN
      fixture.http.post("/standin/cut-mid-event", "");
      HttpResponse<InputStream> stream =
          fixture.http.openStream(
              "POST", "/v1/completions", EngineFixture.completionBody("g.1", "prompt", "[]", 2_000));

      // WHEN
      byte last = lastByte(stream.body());

      // THEN
      assertThat(last & 0xC0).as("first byte of a longer character").isEqualTo(0xC0);
    }
  }

  @Test
  void skipsOneTokenAndSendsTheNextTwice() {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // GIVEN
      fixture.http.post("/standin/skip-token", "{\"count\":1}");
      fixture.http.post("/standin/duplicate-tokens", "{\"count\":1}");

      // WHEN
      List<JsonNode> chunks =
          fixture.http.readChunks(
              "POST", "/v1/completions", EngineFixture.completionBody("g.1", "prompt", "[]", 4));

      // THEN
      assertThat(chunks.stream().map(chunk -> chunk.path("offset").asInt()))
          .containsExactly(1, 1, 2, 3, 4);
    }
  }

  @Test
  void haltsAfterThePrefillOfAMarkedPrompt() {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // WHEN
      fixture.http.openStream(
          "POST", "/v1/completions", EngineFixture.completionBody("g.1", "a POISON b", "[]", 4));

      // THEN
      await().until(() -> fixture.haltCount.get() == 1);
    }
  }

  @Test
  void handlesRequestsHeldDuringAFreezeAfterTheThaw() throws Exception {
    try (EngineFixture fixture = EngineFixture.start(EngineFixture.FAST_TOKEN_INTERVAL_MS)) {
      // GIVEN
      fixture.http.post("/standin/freeze", "");
      Thread thaw = new Thread(() -> fixture.http.post("/standin/thaw", ""));
      long generatedBefore = counts(fixture).path("tokens_generated").asLong();

      // WHEN
      thaw.start();
      List<JsonNode> chunks =
          fixture.http.readChunks(
              "POST", "/v1/completions", EngineFixture.completionBody("g.1", "prompt", "[]", 5));
      thaw.join();

      // THEN
      assertThat(generatedBefore).isZero();
      assertThat(TestHttpClient.textOf(chunks)).isEqualTo(TEXT.text(5));
    }
  }

  private static byte lastByte(InputStream stream) {
    int last = -1;
    try {
      for (int next = stream.read(); next >= 0; next = stream.read()) {
        last = next;
      }
    } catch (IOException e) {
      assertThat(e).as("connection ends inside a chunk").isNotNull();
    }
    if (last < 0) {
      throw new UncheckedIOException(new IOException("nothing was read"));
    }
    return (byte) last;
  }

  private static JsonNode counts(EngineFixture fixture) {
    return fixture.http.json("GET", "/standin/counts", "");
  }

  private static JsonNode load(EngineFixture fixture) {
    return fixture.http.json("GET", "/v1/load", "");
  }
}
