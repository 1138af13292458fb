package org.galenapost.scenarios.soak;

import static org.galenapost.scenarios.soak.FloodedGateway.bytes;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Guards against memory that no budget of a gateway counts. Each case runs against a process with a
 * small heap.
 */
@Isolated("each case fills the memory of its own process")
class GatewayUncountedMemoryTest {

  private static final int CALLS = 200;
  private static final int PROMPT_PARTS = 3_700;
  private static final String LONG_BODY = "p".repeat(100_000);
  private static final int LARGE_ENTRIES = 6;
  private static final int LISTED_HOSTS = 250_000;
  private static final Duration READING_TIME = Duration.ofSeconds(5);

  @TempDir private Path folder;
  private FloodedGateway gateway;

  @BeforeEach
  void start() {
    gateway = new FloodedGateway(folder, FloodedGateway.SMALL_PROCESS);
  }

  @AfterEach
  void stop() {
    gateway.close();
  }

  /** Guards against a process that ends because it holds each part of a prompt as an object. */
  @Test
  void survivesCallsWithLongBodiesAndThousandsOfPromptParts() throws IOException {
    gateway.fleet().servers().stream()
        .map(SoakServer::currentInstance)
        .filter(server -> server.instanceId().startsWith(StoreContentWriter.STREAM_SERVICE))
        .forEach(server -> server.setProcessingTime(Duration.ofSeconds(30)));
    String request =
        StoreContentWriter.request(
            "POST",
            "/gen/1",
            "long",
            FloodedGateway.KEY,
            FloodedGateway.DEADLINE_MS,
            LONG_BODY,
            StoreContentWriter.STREAM_HEADER,
            "X-Prompt-Prefix: a:1" + ",a:1".repeat(PROMPT_PARTS - 1));

    gateway.clients().open(gateway.callerPort(), CALLS, Duration.ZERO, bytes(request));

    gateway.assertSurvival();
  }

  /** Guards against a process that ends because it reads whole entries of another writer. */
  @Test
  void survivesLargeEntriesOfAnotherWriter() throws IOException {
    gateway.fleet().store().setPageSize(1);
    Map<String, Object> entry = Map.of("hosts", Collections.nCopies(LISTED_HOSTS, Map.of()));
    for (int number = 0; number < LARGE_ENTRIES; number++) {
      gateway.fleet().store().write("servers", "inventory-" + number, entry);
    }
    ManagedProcess.pause(READING_TIME);

    gateway.assertSurvival();
  }
}
