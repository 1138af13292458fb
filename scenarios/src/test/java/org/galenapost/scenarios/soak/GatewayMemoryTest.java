package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.galenapost.scenarios.soak.FloodedGateway.bytes;
import static org.galenapost.scenarios.soak.FloodedGateway.join;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenapost.standins.gateway.RawHttpClient;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.galenapost.standins.link.LinkStandin;
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

  private static final int CONNECTIONS = 200;
  private static final int ADMIN_CONNECTIONS = 60;
  private static final int PIPELINED_CONNECTIONS = 12;
  private static final int PIPELINED_REQUESTS = 40;
  private static final int PEER_CONNECTIONS = 40;
  private static final int LINES_BYTES = 16_000;
  private static final int ADMIN_LINES_BYTES = 7_900;
  private static final int PIECE_BYTES = 1_000;
  private static final Duration PIECE_PAUSE = Duration.ofMillis(50);
  private static final int LINES_SENT_ALONE = 500;
  private static final String CHUNKED_ANSWER =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: s\r\nX-Response-Seal: seal-of-s\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";

  @TempDir private Path folder;
  private FloodedGateway gateway;
  private MisbehavingClients clients;

  @BeforeEach
  void start() {
    gateway = new FloodedGateway(folder, FloodedGateway.SMALL_PROCESS);
    clients = gateway.clients();
  }

  @AfterEach
  void stop() {
    gateway.close();
  }

  @ParameterizedTest
  @EnumSource(HeadShape.class)
  void survivesUnfinishedHeadsSentAtOnce(HeadShape shape) throws IOException {
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, unfinishedHead(shape));

    gateway.assertSurvival();
  }

  @ParameterizedTest
  @EnumSource(HeadShape.class)
  void survivesUnfinishedHeadsSentInPieces(HeadShape shape) throws IOException {
    byte[][] pieces = pieces(unfinishedHead(shape));
    clients.open(gateway.callerPort(), CONNECTIONS, PIECE_PAUSE, pieces);

    gateway.assertSurvival();
  }

  @Test
  void survivesPipelinedRequestsWithManyLines() throws IOException {
    byte[][] requests = new byte[PIPELINED_REQUESTS][];
    Arrays.setAll(requests, i -> bytes(requestWithManyLines("p" + i)));
    clients.open(gateway.callerPort(), PIPELINED_CONNECTIONS, Duration.ZERO, requests);

    gateway.assertSurvival();
  }

  @Test
  void survivesFinishedHeadsWithUnfinishedBodies() throws IOException {
    byte[] request =
        bytes(
            requestWithManyLines("b")
                .replace("X-Attempt-Id", "Content-Length: 1000\r\nX-Attempt-Id"));
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, request);

    gateway.assertSurvival();
  }

  /** Bodies count by their declared length, which costs their callers nothing. */
  @Test
  void servesOthersWhileLongBodiesAreAwaited() {
    clients.open(gateway.callerPort(), CONNECTIONS / 2, Duration.ZERO, headOfUpload(1_000_000));
    clients.open(gateway.callerPort(), CONNECTIONS / 2, Duration.ZERO, headOfUpload(66_000));

    gateway.assertServesOthersDuringFlood();
  }

  private static byte[] headOfUpload(int bodyBytes) {
    return bytes(
        StoreContentWriter.request(
            "POST",
            "/act/1",
            "l",
            FloodedGateway.KEY,
            FloodedGateway.DEADLINE_MS,
            "",
            "Content-Length: " + bodyBytes));
  }

  @Test
  void survivesUnfinishedHeadsAtReadyAndOperatorPorts() throws IOException {
    byte[] head =
        join(bytes("GET /ready HTTP/1.1\r\n"), HeadShape.EMPTY_VALUES.lines(ADMIN_LINES_BYTES));
    clients.open(gateway.daemon().ports().readiness(), ADMIN_CONNECTIONS, Duration.ZERO, head);
    clients.open(gateway.daemon().ports().operator(), ADMIN_CONNECTIONS, Duration.ZERO, head);

    gateway.assertSurvival();
  }

  @Test
  void survivesUnfinishedFramesAtPeerPort() throws IOException {
    byte[] frame = ByteBuffer.allocate(2 * 1024 * 1024).putInt(0, 8 * 1024 * 1024 - 8).array();
    clients.open(gateway.daemon().ports().peer(), PEER_CONNECTIONS, Duration.ZERO, frame);

    gateway.assertSurvival();
  }

  @Test
  void survivesUnfinishedTrailers() throws IOException {
    byte[] trailers = HeadShape.EMPTY_VALUES.lines(LINES_BYTES);
    clients.open(
        gateway.callerPort(),
        CONNECTIONS,
        Duration.ZERO,
        join(bytes(chunkedHead() + "1\r\nx\r\n0\r\n"), trailers));

    gateway.assertSurvival();
  }

  @Test
  void survivesUnfinishedChunkExtensions() throws IOException {
    clients.open(
        gateway.callerPort(),
        CONNECTIONS,
        Duration.ZERO,
        bytes(chunkedHead() + "1;" + "e".repeat(LINES_BYTES)));

    gateway.assertSurvival();
  }

  @Test
  void survivesManyTinyChunks() throws IOException {
    clients.open(
        gateway.callerPort(),
        CONNECTIONS,
        Duration.ZERO,
        bytes(chunkedHead() + "1\r\nx\r\n".repeat(20_000)));

    gateway.assertSurvival();
  }

  /** A chunk of one byte takes objects of a hundred bytes until its body is complete. */
  @Test
  void survivesUnfinishedBodiesOfTinyChunks() throws IOException {
    byte[] body = bytes(chunkedHead() + "1\r\nx\r\n".repeat(1_000));
    clients.open(gateway.callerPort(), 2 * CONNECTIONS, Duration.ZERO, body);

    gateway.assertSurvival();
  }

  @Test
  void survivesUnfinishedHeadsOfServer() throws IOException {
    byte[] head = join(bytes("HTTP/1.1 200 OK\r\n"), HeadShape.EMPTY_VALUES.lines(4 * LINES_BYTES));

    assertSurvivalOfServer(head);
  }

  /** The lines that state the sizes of chunks may be as long as a head. */
  @Test
  void survivesUnfinishedChunkLinesOfServer() throws IOException {
    byte[] chunkLine = bytes("1;" + "e".repeat(4 * LINES_BYTES));

    assertSurvivalOfServer(join(bytes(CHUNKED_ANSWER), chunkLine));
  }

  @Test
  void survivesUnfinishedTrailersOfServer() throws IOException {
    byte[] trailers = HeadShape.EMPTY_VALUES.lines(4 * LINES_BYTES);

    assertSurvivalOfServer(join(bytes(CHUNKED_ANSWER + "1\r\nx\r\n0\r\n"), trailers));
  }

  @Test
  void survivesTinyChunksOfServer() throws IOException {
    byte[] chunks = bytes("1\r\nx\r\n".repeat(20_000));

    assertSurvivalOfServer(join(bytes(CHUNKED_ANSWER), chunks));
  }

  private void assertSurvivalOfServer(byte[] answer) throws IOException {
    try (ScriptedServer server = new ScriptedServer(output -> output.write(answer))) {
      gateway.replaceServers(StoreContentWriter.STREAM_SERVICE, server.port());
      clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, bytes(streamRequest("s")));

      gateway.assertSurvival();
    }
  }

  @Test
  void survivesUnfinishedHeadsOfStore() throws IOException {
    byte[] head = join(bytes("HTTP/1.1 200 OK\r\n"), HeadShape.EMPTY_VALUES.lines(LINES_BYTES));
    try (ScriptedServer store = new ScriptedServer(output -> output.write(head))) {
      LinkStandin link = gateway.fleet().storeLink(0);
      link.setTarget(new InetSocketAddress(InetAddress.getLoopbackAddress(), store.port()));
      link.resetConnections();

      gateway.assertSurvival();
    }
  }

  /** Complete heads stay in memory while their calls wait for servers. */
  @Test
  void survivesCompleteHeadsWhoseCallsWait() throws IOException {
    delayStreams();
    String request = requestWithManyLines("w").replace("GET /read/1", "GET /gen/1");
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, bytes(request));

    gateway.assertSurvival();
  }

  /** Each part of a prompt is an object of its own while the call waits. */
  @Test
  void survivesCallsWithThousandsOfPromptParts() throws IOException {
    delayStreams();
    String parts = "a:1" + ",a:1".repeat(3_700);
    byte[] request = bytes(streamRequest("m", "X-Prompt-Prefix: " + parts));
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, request);

    gateway.assertSurvival();
  }

  /** What is recorded of a stream outlives its connection. */
  @Test
  void survivesLongIdsOfStreams() throws IOException {
    AtomicInteger number = new AtomicInteger();
    String filler = "i".repeat(LINES_BYTES - 500);
    clients.keepReturning(
        gateway.callerPort(),
        ADMIN_CONNECTIONS,
        () -> bytes(streamRequest(filler + number.incrementAndGet())));

    gateway.assertSurvival();
  }

  /** No caller can resume a stream whose id is longer than the header for it admits. */
  @Test
  void keepsNoIdsOfStreamsThatNobodyCanResume() throws IOException {
    try (RawHttpClient caller = new RawHttpClient(gateway.callerPort())) {
      String longId = "i".repeat(LINES_BYTES - 500);
      assertThat(caller.send(streamRequest(longId)).readResponse().status()).isEqualTo(200);
    }

    assertThat(gateway.gauge("galenapost_gateway_stream_origins")).isZero();
  }

  /** Lines of the log wait in a queue, with the ids of the calls in them. */
  @Test
  void survivesLongIdsOfRefusedCalls() throws IOException {
    String id = "i".repeat(LINES_BYTES - 500);
    byte[] request = bytes("GET /none HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: " + id + "\r\n\r\n");
    clients.keepReturning(gateway.callerPort(), CONNECTIONS, () -> request);

    gateway.assertSurvival();
  }

  @Test
  void survivesHeadLinesSentOneAtATime() throws IOException {
    byte[][] lines = new byte[LINES_SENT_ALONE][];
    Arrays.fill(lines, bytes("a:\r\n"));
    lines[0] = bytes("GET /read/1 HTTP/1.1\r\n");
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, lines);

    gateway.assertSurvival();
  }

  @Test
  void survivesSmallPipelinedRequestsWhoseAnswersAreNotRead() throws IOException {
    byte[] requests =
        bytes("GET /none HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: t\r\n\r\n".repeat(4_000));
    clients.open(gateway.callerPort(), CONNECTIONS, Duration.ZERO, requests);

    gateway.assertSurvival();
  }

  @Test
  void survivesCallersThatComeBackAtOnce() throws IOException {
    byte[] head = unfinishedHead(HeadShape.EMPTY_VALUES);
    clients.keepReturning(gateway.callerPort(), CONNECTIONS, () -> head);

    gateway.assertSurvival();
  }

  /** Guards against a bound that refuses a single request inside the limits. */
  @Test
  void servesSingleRequestOf4000Lines() throws IOException {
    try (RawHttpClient caller = new RawHttpClient(gateway.callerPort())) {
      RawHttpClient.Response response = caller.send(requestWithManyLines("one")).readResponse();

      assertThat(response.status()).isEqualTo(200);
    }
  }

  /** Makes streams wait at their servers for longer than the test takes. */
  private void delayStreams() {
    gateway.fleet().servers().stream()
        .map(SoakServer::currentInstance)
        .filter(server -> server.instanceId().startsWith(StoreContentWriter.STREAM_SERVICE))
        .forEach(server -> server.setProcessingTime(Duration.ofSeconds(30)));
  }

  private static String streamRequest(String id, String... headers) {
    String[] lines = Arrays.copyOf(headers, headers.length + 1);
    lines[headers.length] = StoreContentWriter.STREAM_HEADER;
    return StoreContentWriter.request(
        "POST", "/gen/1", id, FloodedGateway.KEY, FloodedGateway.DEADLINE_MS, "p", lines);
  }

  private static byte[] unfinishedHead(HeadShape shape) {
    return join(bytes("GET /read/1 HTTP/1.1\r\n"), shape.lines(LINES_BYTES));
  }

  /** A request on an idempotent route whose lines of four bytes nearly fill the limit. */
  private static String requestWithManyLines(String id) {
    String request =
        StoreContentWriter.request(
            "GET", "/read/1", id, FloodedGateway.KEY, FloodedGateway.DEADLINE_MS, "");
    return request.replaceFirst("\r\n\r\n$", "\r\n" + "a:\r\n".repeat(4_000) + "\r\n");
  }

  private static String chunkedHead() {
    return StoreContentWriter.request(
        "POST",
        "/read/1",
        "c",
        FloodedGateway.KEY,
        FloodedGateway.DEADLINE_MS,
        "",
        "Transfer-Encoding: chunked");
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
