package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Callers of a daemon whose process is killed. */
class GatewayKilledTest {

  private static final long DEADLINE_MS = 5_000;
  private static final int READ_TIMEOUT_MS = 10_000;

  @TempDir private Path folder;
  private SoakFleet fleet;

  @BeforeEach
  void start() {
    fleet = new SoakFleet(folder, 1);
    fleet.writeConfig(SoakFaults.KEYS.get(0));
    fleet.startDaemons();
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  /** A regular end of the connection would make a part of an HTTP/1.0 stream look complete. */
  @Test
  void resetsStreamWithoutLengthInProgressWhenItsProcessIsKilled() throws IOException {
    SoakDaemon daemon = fleet.daemons().get(0);

    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), daemon.callerPort())) {
      caller.setSoTimeout(READ_TIMEOUT_MS);
      caller.getOutputStream().write(streamRequest().getBytes(StandardCharsets.US_ASCII));
      InputStream answer = caller.getInputStream();
      assertThat(answer.read()).isEqualTo('H');
      daemon.kill();

      assertThatThrownBy(answer::readAllBytes).isInstanceOf(SocketException.class);
    }
  }

  private static String streamRequest() {
    return StoreContentWriter.request(
            "POST",
            "/gen/1",
            "a1",
            SoakFaults.KEYS.get(0),
            DEADLINE_MS,
            "p",
            StoreContentWriter.STREAM_HEADER)
        .replace("HTTP/1.1", "HTTP/1.0");
  }
}
