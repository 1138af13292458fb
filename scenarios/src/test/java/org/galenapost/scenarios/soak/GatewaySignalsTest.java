package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.galenapost.scenarios.process.ManagedProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a daemon whose SIGHUP handler is installed after it accepts connections. */
class GatewaySignalsTest {

  private static final int UNUSED_PORT = 1;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

  @TempDir private Path folder;
  private SoakDaemon daemon;

  @BeforeEach
  void start() {
    SoakDaemon.Ports ports = SoakDaemon.Ports.free();
    daemon = new SoakDaemon("d1", "z1", folder, ports, List.of(ports), UNUSED_PORT);
    daemon.start();
  }

  @AfterEach
  void stop() {
    daemon.stop();
  }

  @Test
  void survivesSighupSentAsSoonAsCallersCanConnect() {
    awaitCallerPort();

    daemon.sendSighup();
    ManagedProcess.pause(Duration.ofSeconds(1));

    assertThat(daemon.hasExitedUnexpectedly()).as("SIGHUP ended the process").isFalse();
  }

  private void awaitCallerPort() {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!daemon.acceptsCallers()) {
      assertThat(System.nanoTime())
          .as("time while the caller port does not accept connections")
          .isLessThan(deadlineNanos);
      ManagedProcess.pause(Duration.ofMillis(1));
    }
  }
}
