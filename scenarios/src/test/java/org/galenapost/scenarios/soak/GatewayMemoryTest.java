package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.standins.gateway.RawHttpClient;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against heads of legal size that exhaust the memory of a gateway process, which happened
 * with 1,200 callers of 16 KiB each. Each case runs against a process with a small heap.
 */
@Isolated("each case fills the memory of its own process")
class GatewayMemoryTest {

  /** Options of the deployment, with a smaller heap and less direct memory. */
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-Xmx48m",
          "-Xss256k",
          "-XX:MaxNewSize=12m",
          "-XX:MaxDirectMemorySize=16m",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:+ExitOnOutOfMemoryError",
          "-Dio.netty.allocator.type=unpooled");

  private static final int CONNECTIONS = 200;
  private static final int ADMIN_CONNECTIONS = 60;
  private static final int PIPELINED_CONNECTIONS = 12;
  private static final int PIPELINED_REQUESTS = 40;
  private static final int PEER_CONNECTIONS = 40;
  private static final int MAX_RESIDENT_KB = 200 * 1024;
  private static final int MAX_DESCRIPTORS = 500;

  private static final int MAX_HEAD_BYTES = 16_384;
  private static final int LINES_BYTES = 16_000;
  private static final int ADMIN_LINES_BYTES = 7_900;
  private static final int PIECE_BYTES = 1_000;
  private static final Duration PIECE_PAUSE = Duration.ofMillis(50);
  private static final Duration SETTLE_TIME = Duration.ofMillis(500);
  private static final int ANSWER_ATTEMPTS = 40;
  private static final Duration ATTEMPT_PAUSE = Duration.ofMillis(250);
  private static final String KEY = SoakFaults.KEYS.get(0);
  private static final int DEADLINE_MS = 3_000;

  @TempDir private Path folder;
  private SoakFleet fleet;
  private SoakDaemon daemon;
  private HeldConnections crowd;

  @BeforeEach
  void start() {
    fleet = new SoakFleet(folder, 1, JVM_OPTIONS);
    fleet.content().setLimit("max_header_bytes", MAX_HEAD_BYTES);
    fleet.content().setLimit("max_body_bytes", 4_194_304);
    fleet.content().setLimit("header_timeout_ms", 5_000);
    fleet.content().setLimit("idle_timeout_ms", 15_000);
    fleet.writeConfig(KEY);
    fleet.startDaemons();
    daemon = fleet.daemons().get(0);
    crowd = new HeldConnections();
  }

  @AfterEach
  void stop() {
    crowd.close();
    fleet.close();
  }

  @ParameterizedTest
  @EnumSource(HeadShape.class)
  void survivesUnfinishedHeadsSentAtOnce(HeadShape shape) throws IOException {
    crowd.open(daemon.callerPort(), CONNECTIONS, Duration.ZERO, unfinishedHead(shape));

    assertSurvival();
  }

  @ParameterizedTest
  @EnumSource(HeadShape.class)
  void survivesUnfinishedHeadsSentInPieces(HeadShape shape) throws IOException {
    byte[][] pieces = pieces(unfinishedHead(shape));
    crowd.open(daemon.callerPort(), CONNECTIONS, PIECE_PAUSE, pieces);

    assertSurvival();
  }

  @Test
  void survivesPipelinedRequestsWithManyLines() throws IOException {
    byte[][] requests = new byte[PIPELINED_REQUESTS][];
    Arrays.setAll(requests, i -> bytes(requestWithManyLines("p" + i)));
    crowd.open(daemon.callerPort(), PIPELINED_CONNECTIONS, Duration.ZERO, requests);

    assertSurvival();
  }

  @Test
  void survivesFinishedHeadsWithUnfinishedBodies() throws IOException {
    byte[] request =
        bytes(
            requestWithManyLines("b")
                .replace("X-Attempt-Id", "Content-Length: 1000\r\nX-Attempt-Id"));
    crowd.open(daemon.callerPort(), CONNECTIONS, Duration.ZERO, request);

    assertSurvival();
  }

  @Test
  void survivesUnfinishedHeadsAtReadyAndOperatorPorts() throws IOException {
    byte[] head =
        join(bytes("GET /ready HTTP/1.1\r\n"), HeadShape.EMPTY_VALUES.lines(ADMIN_LINES_BYTES));
    crowd.open(daemon.ports().readiness(), ADMIN_CONNECTIONS, Duration.ZERO, head);
    crowd.open(daemon.ports().operator(), ADMIN_CONNECTIONS, Duration.ZERO, head);

    assertSurvival();
  }

  @Test
  void survivesUnfinishedFramesAtPeerPort() throws IOException {
    byte[] frame = ByteBuffer.allocate(2 * 1024 * 1024).putInt(0, 8 * 1024 * 1024 - 8).array();
    crowd.open(daemon.ports().peer(), PEER_CONNECTIONS, Duration.ZERO, frame);

    assertSurvival();
  }

  @Test
  void survivesUnfinishedTrailers() throws IOException {
    byte[] trailers = HeadShape.EMPTY_VALUES.lines(LINES_BYTES);
    crowd.open(
        daemon.callerPort(),
        CONNECTIONS,
        Duration.ZERO,
        join(bytes(chunkedHead() + "1\r\nx\r\n0\r\n"), trailers));

    assertSurvival();
  }

  @Test
  void survivesUnfinishedChunkExtensions() throws IOException {
    crowd.open(
        daemon.callerPort(),
        CONNECTIONS,
        Duration.ZERO,
        bytes(chunkedHead() + "1;" + "e".repeat(LINES_BYTES)));

    assertSurvival();
  }

  @Test
  void survivesManyTinyChunks() throws IOException {
    crowd.open(
        daemon.callerPort(),
        CONNECTIONS,
        Duration.ZERO,
        bytes(chunkedHead() + "1\r\nx\r\n".repeat(20_000)));

    assertSurvival();
  }

  @Test
  void survivesUnfinishedHeadsOfServer() throws IOException {
    byte[] head = join(bytes("HTTP/1.1 200 OK\r\n"), HeadShape.EMPTY_VALUES.lines(4 * LINES_BYTES));
    try (ServerSocket server = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())) {
      Thread acceptor = new Thread(() -> answerAll(server, head), "odd-server");
      acceptor.setDaemon(true);
      acceptor.start();
      removeServersOf(StoreContentWriter.STREAM_SERVICE);
      fleet
          .content()
          .registerServer(
              "odd",
              "127.0.0.1:" + server.getLocalPort(),
              StoreContentWriter.STREAM_SERVICE,
              "z1",
              "ready",
              "v1");
      ManagedProcess.pause(SETTLE_TIME.multipliedBy(2));
      crowd.open(
          daemon.callerPort(),
          CONNECTIONS,
          Duration.ZERO,
          bytes(
              StoreContentWriter.request(
                  "POST", "/gen/1", "s", KEY, DEADLINE_MS, "p", StoreContentWriter.STREAM_HEADER)));

      assertSurvival();
    }
  }

  /** Guards against a bound that refuses a single request inside the limits. */
  @Test
  void servesSingleRequestOf4000Lines() throws IOException {
    try (RawHttpClient caller = new RawHttpClient(daemon.callerPort())) {
      RawHttpClient.Response response = caller.send(requestWithManyLines("one")).readResponse();

      assertThat(response.status()).isEqualTo(200);
    }
  }

  private void removeServersOf(String service) {
    fleet.servers().stream()
        .map(server -> server.currentInstance().instanceId())
        .filter(id -> id.startsWith(service))
        .forEach(fleet.content()::deregisterServer);
  }

  private static void answerAll(ServerSocket server, byte[] head) {
    while (!server.isClosed()) {
      try {
        Socket accepted = server.accept();
        OutputStream output = accepted.getOutputStream();
        output.write(head);
        output.flush();
      } catch (IOException e) {
        // The daemon may close its connection; the loop ends with the server socket.
        continue;
      }
    }
  }

  private void assertSurvival() throws IOException {
    crowd.awaitSent();
    ManagedProcess.pause(SETTLE_TIME);
    assertThat(daemon.hasExitedUnexpectedly()).as("the process exited").isFalse();
    assertThat(peakResidentKb()).as("peak resident memory in KB").isLessThan(MAX_RESIDENT_KB);
    assertThat(descriptorCount()).as("open descriptors").isLessThan(MAX_DESCRIPTORS);
    crowd.close();
    boolean isAnswered = isOrdinaryRequestAnswered();
    assertThat(daemon.hasExitedUnexpectedly()).as("the process exited").isFalse();
    assertThat(isAnswered).as("an ordinary request is answered").isTrue();
  }

  private long peakResidentKb() throws IOException {
    try (Stream<String> lines = Files.lines(Path.of("/proc/" + daemon.pid() + "/status"))) {
      return lines
          .filter(line -> line.startsWith("VmHWM:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
          .findFirst()
          .orElseThrow();
    }
  }

  private long descriptorCount() throws IOException {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + daemon.pid() + "/fd"))) {
      return descriptors.count();
    }
  }

  private boolean isRunning() {
    return !daemon.hasExitedUnexpectedly();
  }

  private boolean isOrdinaryRequestAnswered() {
    for (int attempt = 0; attempt < ANSWER_ATTEMPTS && isRunning(); attempt++) {
      try (RawHttpClient caller = new RawHttpClient(daemon.callerPort())) {
        String request =
            StoreContentWriter.request("GET", "/read/1", "o" + attempt, KEY, DEADLINE_MS, "");
        if (caller.send(request).readResponse().status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // The daemon may be busy closing connections.
        ManagedProcess.pause(ATTEMPT_PAUSE);
        continue;
      }
      ManagedProcess.pause(ATTEMPT_PAUSE);
    }
    return false;
  }

  private static byte[] unfinishedHead(HeadShape shape) {
    return join(bytes("GET /read/1 HTTP/1.1\r\n"), shape.lines(LINES_BYTES));
  }

  /** A request on an idempotent route whose lines of four bytes nearly fill the limit. */
  private static String requestWithManyLines(String id) {
    String request = StoreContentWriter.request("GET", "/read/1", id, KEY, DEADLINE_MS, "");
    return request.replaceFirst("\r\n\r\n$", "\r\n" + "a:\r\n".repeat(4_000) + "\r\n");
  }

  private static String chunkedHead() {
    return StoreContentWriter.request(
        "POST", "/read/1", "c", KEY, DEADLINE_MS, "", "Transfer-Encoding: chunked");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static byte[] join(byte[] first, byte[] second) {
    return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
  }

  private static byte[][] pieces(byte[] whole) {
    int count = (whole.length + PIECE_BYTES - 1) / PIECE_BYTES;
    byte[][] pieces = new byte[count][];
    Arrays.setAll(
        pieces,
        i ->
            Arrays.copyOfRange(
                whole, i * PIECE_BYTES, Math.min(whole.length, (i + 1) * PIECE_BYTES)));
    return pieces;
  }
}
