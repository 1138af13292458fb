package org.galenapost.daemon.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.EngineEvent;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.HttpClients;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpEngineClientTest {

  private static final AttemptId ATTEMPT = new AttemptId("g-1", 1);
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

  private final EventLoops eventLoops = new EventLoops(1);
  private final List<EngineEvent> events = new CopyOnWriteArrayList<>();
  private final List<StreamEnd> ends = new CopyOnWriteArrayList<>();
  private HttpClients clients;
  private HttpEngineClient client;
  private ServerSocket socket;

  @BeforeEach
  void start() throws IOException {
    clients = new HttpClients(eventLoops.group(), Duration.ofMillis(500));
    client = new HttpEngineClient(clients);
    socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    clients.stop();
    eventLoops.stop();
    socket.close();
  }

  @Test
  void decodesEventsCutAnywhere() {
    byte[] stream =
        (RESPONSE_HEAD + ": keep-alive\n\n" + chunk(0, "\u00e6\uD83D\uDE00") + finish(1) + done())
            .getBytes(StandardCharsets.UTF_8);
    serve(
        output -> {
          for (int i = 0; i < stream.length; i += 3) {
            output.write(Arrays.copyOfRange(stream, i, Math.min(stream.length, i + 3)));
            output.flush();
          }
        });

    client.attach(server(), ATTEMPT, 0, listener());

    await().untilAsserted(() -> assertThat(ends).containsExactly(StreamEnd.COMPLETE));
    assertThat(events)
        .containsExactly(
            new EngineEvent.Token(ATTEMPT, 0, "m1", "v1", "\u00e6\uD83D\uDE00"),
            new EngineEvent.Finish(ATTEMPT, 1, "m1", "v1", "stop"));
  }

  @Test
  void dropsEventCutInTheMiddleOfACharacter() {
    byte[] stream =
        (RESPONSE_HEAD + chunk(0, "a") + chunk(1, "\u00e6")).getBytes(StandardCharsets.UTF_8);
    int cut = new String(stream, StandardCharsets.ISO_8859_1).lastIndexOf('\u00c3') + 1;
    serve(output -> output.write(stream, 0, cut));

    client.attach(server(), ATTEMPT, 0, listener());

    await().untilAsserted(() -> assertThat(ends).containsExactly(StreamEnd.RESET));
    assertThat(events).containsExactly(new EngineEvent.Token(ATTEMPT, 0, "m1", "v1", "a"));
  }

  @Test
  void reportsRefusedConnectionsAndStatuses() throws IOException {
    serve(
        output ->
            output.write(
                "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII)));

    client.attach(server(), ATTEMPT, 0, listener());
    await().untilAsserted(() -> assertThat(ends).containsExactly(StreamEnd.NOT_FOUND));
    BackendServer stopped = server();
    socket.close();
    client.attach(stopped, ATTEMPT, 0, listener());

    await()
        .untilAsserted(
            () -> assertThat(ends).containsExactly(StreamEnd.NOT_FOUND, StreamEnd.UNREACHABLE));
    assertThat(client.probe(stopped, Duration.ofMillis(300)).toCompletableFuture().join())
        .isFalse();
  }

  /** A merged head would refuse a stream that runs, or give a refusal the events of a stream. */
  @ParameterizedTest
  @CsvSource({
    "200, HTTP/1.1 404 Not Found|Server: stutt",
    "200, HTTP/1.1 200 OK|Server: stutt",
    "200, HTTP/1.1 5",
    "200, noise",
    "404, HTTP/1.1 200 OK|Server: stutt",
    "503, HTTP/1.1 404 Not"
  })
  void endsStreamAsBrokenAfterPartOfAnotherAnswer(String status, String part) {
    String head = RESPONSE_HEAD.replace("200 OK", status + " Status");
    String answer = part.replace("|", "\r\n") + head + chunk(0, "a") + finish(1) + done();
    serve(output -> output.write(answer.getBytes(StandardCharsets.US_ASCII)));

    client.attach(server(), ATTEMPT, 0, listener());

    await().untilAsserted(() -> assertThat(ends).containsExactly(StreamEnd.RESET));
    assertThat(events).isEmpty();
  }

  @Test
  void stopsReadingWhilePaused() {
    // GIVEN
    String text = "x".repeat(1_000);
    serve(
        output -> {
          output.write(RESPONSE_HEAD.getBytes(StandardCharsets.US_ASCII));
          for (int i = 0; i < 20_000; i++) {
            output.write(chunk(i, text).getBytes(StandardCharsets.UTF_8));
          }
          output.write((finish(20_000) + done()).getBytes(StandardCharsets.UTF_8));
        });
    EngineCall call = client.attach(server(), ATTEMPT, 0, listener());
    await().until(() -> events.size() > 10);

    // WHEN
    call.pause();
    await().during(Duration.ofMillis(200)).until(() -> true);
    int whilePaused = events.size();
    await().during(Duration.ofMillis(200)).until(() -> true);

    // THEN
    assertThat(events.size()).isEqualTo(whilePaused).isLessThan(20_000);
    call.resume();
    await().untilAsserted(() -> assertThat(ends).containsExactly(StreamEnd.COMPLETE));
    assertThat(events).hasSize(20_001);
  }

  private interface ServerScript {
    void run(OutputStream output) throws IOException;
  }

  private void serve(ServerScript script) {
    Thread thread = new Thread(() -> serveOne(script));
    thread.setDaemon(true);
    thread.start();
  }

  private void serveOne(ServerScript script) {
    try (Socket accepted = socket.accept()) {
      InputStream input = accepted.getInputStream();
      int newlines = 0;
      while (newlines < 2) {
        int next = input.read();
        newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
      }
      accepted.setTcpNoDelay(true);
      script.run(accepted.getOutputStream());
    } catch (IOException e) {
      ends.add(StreamEnd.ERROR);
    }
  }

  private EngineListener listener() {
    return new EngineListener() {
      @Override
      public void onEvent(EngineEvent event) {
        events.add(event);
      }

      @Override
      public void onEnd(StreamEnd end) {
        ends.add(end);
      }
    };
  }

  private BackendServer server() {
    return new BackendServer(
        "s1",
        "127.0.0.1",
        socket.getLocalPort(),
        ServerKind.ENGINE,
        "dc1",
        Set.of("m1"),
        Optional.empty(),
        ServerState.LIVE,
        true);
  }

  private static String chunk(int offset, String text) {
    return event(offset, "\"" + text + "\"", "null");
  }

  private static String finish(int offset) {
    return event(offset, "\"\"", "\"stop\"");
  }

  private static String event(int offset, String text, String reason) {
    return "data: {\"id\":\"g-1.1\",\"model\":\"m1\",\"version\":\"v1\",\"choices\":[{\"index\":0,"
        + "\"text\":"
        + text
        + ",\"finish_reason\":"
        + reason
        + "}],\"offset\":"
        + offset
        + "}\n\n";
  }

  private static String done() {
    return "data: [DONE]\n\n";
  }
}
