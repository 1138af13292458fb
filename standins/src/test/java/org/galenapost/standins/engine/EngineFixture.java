package org.galenapost.standins.engine;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenapost.standins.TestHttpClient;
import org.galenapost.standins.engine.EngineSettings.ModelSpec;

/** A running engine and a client of it. */
final class EngineFixture implements AutoCloseable {

  static final double SLOW_TOKEN_INTERVAL_MS = 20;
  static final double FAST_TOKEN_INTERVAL_MS = 0.1;

  final AtomicInteger haltCount = new AtomicInteger();
  final EngineStandin engine;
  final TestHttpClient http;

  private EngineFixture(EngineSettings settings) {
    engine = new EngineStandin(0, settings, haltCount::incrementAndGet);
    engine.start();
    http = new TestHttpClient(engine.port());
  }

  static EngineFixture start(double tokenIntervalMs) {
    return new EngineFixture(settings(tokenIntervalMs, 8, true));
  }

  static EngineFixture startWithoutFencing() {
    return new EngineFixture(settings(FAST_TOKEN_INTERVAL_MS, 8, false));
  }

  static EngineSettings settings(double tokenIntervalMs, int slots, boolean checksFencing) {
    return new EngineSettings(
        1_000,
        slots,
        2,
        tokenIntervalMs,
        1_000_000,
        16,
        0,
        0,
        0,
        checksFencing,
        0,
        "POISON",
        1,
        List.of(ModelSpec.parse("m1:v1:a1")));
  }

  static String completionBody(String id, String prompt, String accepted, int maxTokens) {
    return "{\"request_id\":\"%s\",\"model\":\"m1\",\"prompt\":\"%s\",\"accepted\":%s,\"seed\":7,"
            .formatted(id, prompt, accepted)
        + "\"max_tokens\":%d,\"stream\":true,\"detached_keep_ms\":60000}".formatted(maxTokens);
  }

  @Override
  public void close() {
    engine.stop();
  }
}
