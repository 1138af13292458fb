package org.galenapost.scenarios.soak;

import static org.galenapost.scenarios.soak.FloodedGateway.bytes;
import static org.galenapost.scenarios.soak.FloodedGateway.join;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Guards against floods that each stay within a share of the memory, but not all at once: odd
 * heads, long bodies, and long answers that are incomplete or unread.
 */
@Isolated("each case fills the memory of its own process")
class GatewayMixedFloodTest {

  private static final Path DEPLOY_FILE = Path.of("..", "deploy", "system.toml");

  /** The memory of the smallest entry hosts of the users. */
  private static final int SMALLEST_HOST_KB = 258 * 1024;

  private static final int CALLERS = 60;
  private static final int UPLOADS = 12;
  private static final int UPLOADED_BYTES = 3_900_000;
  private static final int ANSWER_BYTES = 1_100_000;
  private static final int LINES_BYTES = 16_000;

  @TempDir private Path folder;

  @Test
  void smallProcessSurvives() throws IOException {
    try (FloodedGateway gateway = new FloodedGateway(folder, FloodedGateway.SMALL_PROCESS);
        ScriptedServer server = new ScriptedServer(new LongAnswers())) {
      openAllKinds(gateway, server);

      gateway.assertSurvival();
    }
  }

  @Test
  void processAsDeployedStaysWithinTheSmallestHost() throws IOException {
    try (FloodedGateway gateway = new FloodedGateway(folder, ProcessOptions.ofJvm(jvmOptions()));
        ScriptedServer server = new ScriptedServer(new LongAnswers())) {
      openAllKinds(gateway, server);

      gateway.assertSurvivalWithin(SMALLEST_HOST_KB);
    }
  }

  /** Returns the options of the JVM in the deploy file, without those for the class archive. */
  private static List<String> jvmOptions() throws IOException {
    String run =
        Files.readAllLines(DEPLOY_FILE).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return Arrays.stream(run.split("[ \"]"))
        .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
        .filter(word -> !word.startsWith("-Xshare") && !word.contains("SharedArchiveFile"))
        .toList();
  }

  private static void openAllKinds(FloodedGateway gateway, ScriptedServer server)
      throws IOException {
    gateway.replaceServers(StoreContentWriter.STREAM_SERVICE, server.port());
    MisbehavingClients clients = gateway.clients();
    int port = gateway.callerPort();
    clients.open(port, UPLOADS, Duration.ZERO, upload());
    clients.openWithSmallWindow(port, CALLERS, answeredRequest());
    for (HeadShape shape : HeadShape.values()) {
      byte[] head = join(bytes("GET /read/1 HTTP/1.1\r\n"), shape.lines(LINES_BYTES));
      clients.open(port, CALLERS, Duration.ZERO, head);
    }
  }

  private static byte[] upload() {
    String head =
        StoreContentWriter.request(
            "POST",
            "/act/1",
            "u",
            FloodedGateway.KEY,
            FloodedGateway.DEADLINE_MS,
            "",
            "Content-Length: 4000000");
    return join(bytes(head), new byte[UPLOADED_BYTES]);
  }

  private static byte[] answeredRequest() {
    return bytes(
        StoreContentWriter.request(
            "POST", "/gen/1", "s", FloodedGateway.KEY, FloodedGateway.DEADLINE_MS, "p"));
  }

  /** Long answers, of which every second one lacks its last byte. */
  private static final class LongAnswers implements ScriptedServer.Answer {

    private static final String HEAD =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: s\r\nX-Response-Seal: seal-of-s\r\nContent-Length: ";

    private final AtomicInteger count = new AtomicInteger();

    @Override
    public void write(OutputStream output) throws IOException {
      int missingBytes = count.incrementAndGet() % 2;
      String body = "x".repeat(ANSWER_BYTES - missingBytes);
      output.write(bytes(HEAD + ANSWER_BYTES + "\r\n\r\n" + body));
    }
  }
}
