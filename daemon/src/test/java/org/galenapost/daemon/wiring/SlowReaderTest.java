package org.galenapost.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

class SlowReaderTest {

  private static final String BODY =
      "{\"model\":\"m1\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":65536}";
  private static final String REQUEST =
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
          + FakeConfiguration.WORKSPACE_KEY
          + "\r\nContent-Length: "
          + BODY.length()
          + "\r\n\r\n"
          + BODY;
  private static final String TOKEN_TEXT = "x".repeat(1000);
  private static final int TOKEN_COUNT = 30_000;

  private TestDaemon daemon;

  @AfterEach
  void stop() {
    daemon.close();
  }

  /** Pushes tokens whenever the sink takes them, as an engine's reader does. */
  private static final class TokenProducer {

    private final FakeGenerationService.StartedGeneration generation;
    private final AtomicInteger sent = new AtomicInteger();

    TokenProducer(FakeGenerationService.StartedGeneration generation) {
      this.generation = generation;
      generation.writableCallback = this::push;
    }

    synchronized void push() {
      while (sent.get() < TOKEN_COUNT && generation.sink.isWritable()) {
        generation.sink.onToken(sent.get(), TOKEN_TEXT, "h" + sent.get());
        if (sent.incrementAndGet() == TOKEN_COUNT) {
          generation.sink.onFinish("length");
        }
      }
    }
  }

  @Test
  void pausesForStalledReaderAndLosesNoTokenWhenItResumes() throws Exception {
    // GIVEN
    daemon = TestDaemon.start("slow_reader_timeout_ms: 60000");
    try (RawConnection reader = RawConnection.to(daemon.daemon.callerPort())) {
      reader.send(REQUEST);
      TokenProducer pump = new TokenProducer(daemon.awaitGeneration(0));

      // WHEN
      pump.push();
      await().until(() -> hasPaused(pump));
      int sentWhileStopped = pump.sent.get();
      String answer = reader.readUntil("[DONE]");

      // THEN
      assertThat(sentWhileStopped).as("tokens sent to a stopped reader").isLessThan(TOKEN_COUNT);
      assertThat(answer.split("\"offset\":", -1)).hasSize(TOKEN_COUNT + 1);
      assertThat(answer.indexOf("\"offset\":" + (TOKEN_COUNT - 1) + "}")).isPositive();
    }
  }

  private static boolean hasPaused(TokenProducer pump) throws InterruptedException {
    int before = pump.sent.get();
    Thread.sleep(300);
    return pump.sent.get() == before;
  }

  @RepeatedTest(5)
  void endsStreamOfReaderThatStallsBeyondTimeout() throws Exception {
    // GIVEN
    daemon = TestDaemon.start("slow_reader_timeout_ms: 300");
    try (RawConnection reader = RawConnection.to(daemon.daemon.callerPort())) {
      reader.send(REQUEST);
      FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

      // WHEN
      new TokenProducer(generation).push();

      // THEN
      await().untilAsserted(() -> assertThat(generation.isCancelled).isTrue());
      assertThat(daemon.metrics()).contains("galenapost_refusals_total{reason=\"caller-too-slow\"");
    }
  }

  @Test
  void boundsMemoryWhenProducerIgnoresBackpressure() throws IOException {
    // GIVEN
    daemon = TestDaemon.start("slow_reader_timeout_ms: 60000");
    try (RawConnection reader = RawConnection.to(daemon.daemon.callerPort())) {
      reader.send(REQUEST);
      FakeGenerationService.StartedGeneration generation = daemon.awaitGeneration(0);

      // WHEN
      for (int offset = 0; offset < TOKEN_COUNT && !generation.isCancelled; offset++) {
        generation.sink.onToken(offset, TOKEN_TEXT, "h");
      }

      // THEN
      await().untilAsserted(() -> assertThat(generation.isCancelled).isTrue());
      assertThat(daemon.metrics()).contains("galenapost_refusals_total{reason=\"caller-too-slow\"");
    }
  }
}
