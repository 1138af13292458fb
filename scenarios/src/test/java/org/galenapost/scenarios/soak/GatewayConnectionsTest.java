package org.galenapost.scenarios.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Guards against connections that are opened and held, so that none is left for ordinary callers,
 * for servers or for the store. Each case runs against a process with few file descriptors.
 */
@Isolated("each case takes the descriptors of its own process")
class GatewayConnectionsTest {

  private static final int PROCESS_DESCRIPTORS = 500;

  /** A fifth stays free for connections to servers, to other daemons and to the store. */
  private static final int MAX_DESCRIPTORS = 400;

  private static final int CONNECTIONS = 600;
  private static final byte[] NOTHING = new byte[0];

  @TempDir private Path folder;
  private CrowdedGateway gateway;
  private HeldConnections crowd;

  @BeforeEach
  void start() {
    gateway =
        new CrowdedGateway(
            folder, CrowdedGateway.SMALL_PROCESS.withMaxDescriptors(PROCESS_DESCRIPTORS));
    crowd = gateway.crowd();
  }

  @AfterEach
  void stop() {
    gateway.close();
  }

  @Test
  void leavesDescriptorsFreeUnderConnectionsToPeerPort() throws IOException {
    crowd.open(gateway.daemon().ports().peer(), CONNECTIONS, Duration.ZERO, NOTHING);

    gateway.assertSurvival(MAX_DESCRIPTORS);
  }
}
