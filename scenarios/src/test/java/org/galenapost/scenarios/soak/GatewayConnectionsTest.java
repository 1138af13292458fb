package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.galenapost.scenarios.soak.CrowdedGateway.bytes;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.standins.gateway.StoreContentWriter;
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
  private static final int ADMIN_CONNECTIONS = 80;
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
  void leavesDescriptorsFreeUnderIdleConnections() throws IOException {
    crowd.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, NOTHING);

    gateway.assertSurvival(MAX_DESCRIPTORS);
  }

  @Test
  void servesOthersWhileIdleConnectionsAreHeld() {
    crowd.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, NOTHING);

    gateway.assertServesAmidCrowd();
  }

  @Test
  void servesOthersWhileBodiesAreAwaited() {
    String head =
        StoreContentWriter.request(
            "POST",
            "/act/1",
            "b",
            CrowdedGateway.KEY,
            CrowdedGateway.DEADLINE_MS,
            "",
            "Content-Length: 10");
    crowd.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, bytes(head));

    gateway.assertServesAmidCrowd();
  }

  @Test
  void servesOthersWhileCallersComeBackAtOnce() {
    byte[] head = bytes("GET /read/1 HTTP/1.1\r\na:\r\n");
    crowd.keepReturning(gateway.callerPort(), CONNECTIONS, () -> head);

    gateway.assertServesAmidCrowd();
  }

  @Test
  void leavesDescriptorsFreeUnderConnectionsToPeerPort() throws IOException {
    crowd.open(gateway.daemon().ports().peer(), CONNECTIONS, Duration.ZERO, NOTHING);

    gateway.assertSurvival(MAX_DESCRIPTORS);
  }

  /** A balancer that gets no answer takes the host out of use. */
  @Test
  void answersReadinessProbeWhileConnectionsAreHeld() {
    crowd.open(gateway.daemon().ports().readiness(), ADMIN_CONNECTIONS, Duration.ZERO, NOTHING);
    crowd.awaitSent();
    ManagedProcess.pause(CrowdedGateway.SETTLE_TIME);

    assertThat(gateway.daemon().isReady()).as("the readiness probe is answered").isTrue();
  }
}
