package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.galenapost.scenarios.soak.FloodedGateway.bytes;

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
  private FloodedGateway gateway;
  private MisbehavingClients clients;

  @BeforeEach
  void start() {
    gateway =
        new FloodedGateway(
            folder, FloodedGateway.SMALL_PROCESS.withMaxDescriptors(PROCESS_DESCRIPTORS));
    clients = gateway.clients();
  }

  @AfterEach
  void stop() {
    gateway.close();
  }

  @Test
  void leavesDescriptorsFreeUnderIdleConnections() throws IOException {
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, NOTHING);

    gateway.assertSurvival(MAX_DESCRIPTORS);
  }

  @Test
  void servesOthersWhileIdleConnectionsAreHeld() {
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, NOTHING);

    gateway.assertServesOthersDuringFlood();
  }

  @Test
  void servesOthersWhileBodiesAreAwaited() {
    String head =
        StoreContentWriter.request(
            "POST",
            "/act/1",
            "b",
            FloodedGateway.KEY,
            FloodedGateway.DEADLINE_MS,
            "",
            "Content-Length: 10");
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, bytes(head));

    gateway.assertServesOthersDuringFlood();
  }

  @Test
  void servesOthersWhileCallersComeBackAtOnce() {
    byte[] head = bytes("GET /read/1 HTTP/1.1\r\na:\r\n");
    clients.keepReturning(gateway.callerPort(), CONNECTIONS, () -> head);

    gateway.assertServesOthersDuringFlood();
  }

  @Test
  void leavesDescriptorsFreeUnderConnectionsToPeerPort() throws IOException {
    clients.open(gateway.daemon().ports().peer(), CONNECTIONS, Duration.ZERO, NOTHING);

    gateway.assertSurvival(MAX_DESCRIPTORS);
  }

  /** A balancer that gets no answer takes the host out of use. */
  @Test
  void answersReadinessProbeWhileConnectionsAreHeld() {
    clients.open(gateway.daemon().ports().readiness(), ADMIN_CONNECTIONS, Duration.ZERO, NOTHING);
    clients.awaitSent();
    ManagedProcess.pause(FloodedGateway.SETTLE_TIME);

    assertThat(gateway.daemon().isReady()).as("the readiness probe is answered").isTrue();
  }
}
