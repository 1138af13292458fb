package org.galenapost.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.verdict.Verdict;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.net.StutteringServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_ANSWER_BYTES = 1_024;
  private static final int FIRST_BYTES = 16;
  private static final Duration RESET_DELAY = Duration.ofMillis(100);

  private final EventLoops eventLoops = new EventLoops(1);
  private final HttpClients clients = new HttpClients(eventLoops.group(), TIMEOUT);
  private final ServiceClient client = new ServiceClient(clients, MAX_ANSWER_BYTES);

  @AfterEach
  void stop() {
    clients.stop();
    eventLoops.stop();
  }

  @Test
  void givesNoCallTheLateSecondAnswerOfAnEarlierOne() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      serveWithLateSecondAnswers(socket);

      assertThat(answerOf(socket.getLocalPort(), "/1")).isEqualTo("answer to /1");
      assertThat(answerOf(socket.getLocalPort(), "/2")).isEqualTo("answer to /2");
      assertThat(answerOf(socket.getLocalPort(), "/3")).isEqualTo("answer to /3");
    }
  }

  /** A merged head would give a failure the status of a success, or the other way round. */
  @ParameterizedTest
  @CsvSource({
    "/fail, HTTP/1.1 200 OK|Server: stutt",
    "/fail, HTTP/1.1 2",
    "/fail, noise",
    "/1, HTTP/1.1 500 Failure|Server: stutt",
    "/1, HTTP/1.1 404 Not"
  })
  void failsCallThatMayHaveRunAfterPartOfAnotherAnswer(String uri, String part) throws Exception {
    try (StutteringServer service = StutteringServer.fromFirstAnswerOn(part.replace("|", "\r\n"))) {
      ServiceOutcome outcome = outcomeOf(service.port(), uri, new byte[0]);

      assertThat(outcome)
          .isInstanceOfSatisfying(
              ServiceOutcome.Failed.class,
              failure -> assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
    }
  }

  /** The end of a connection also ends an answer without a length, but a reset breaks it off. */
  @ParameterizedTest
  @ValueSource(ints = {0, 4_000_000})
  void doesNotTakeAnswerWithoutLengthForWholeIfItsConnectionIsReset(int requestBytes)
      throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      startThread(() -> answerHalfAndReset(socket));

      assertThat(outcomeOf(socket.getLocalPort(), "/1", new byte[requestBytes]))
          .isInstanceOf(ServiceOutcome.Failed.class);
    }
  }

  /** The regular end that precedes the reset made a part of the answer look whole. */
  @Test
  void doesNotTakeAnswerWithoutLengthForWholeIfItsRequestIsUnread() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      startThread(() -> answerHalfAndClose(socket));

      assertThat(outcomeOf(socket.getLocalPort(), "/1", new byte[400_000]))
          .isInstanceOfSatisfying(
              ServiceOutcome.Failed.class,
              failure -> assertThat(failure.verdict()).isNotEqualTo(Verdict.NOT_RUN));
    }
  }

  /** The caller got the answer with a status that no client can act on, or with another one. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "1000", "0200"})
  void failsCallWhoseAnswerHasStatusThatIsNoneOfHttp(String status) throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      startThread(() -> answerWithStatus(socket, status));

      assertThat(outcomeOf(socket.getLocalPort(), "/1", new byte[0]))
          .isInstanceOfSatisfying(
              ServiceOutcome.Failed.class,
              failure -> assertThat(failure.verdict()).isNotEqualTo(Verdict.NOT_RUN));
    }
  }

  private static void answerHalfAndClose(ServerSocket socket) throws IOException {
    try (Socket connection = socket.accept()) {
      connection.getInputStream().readNBytes(FIRST_BYTES);
      connection
          .getOutputStream()
          .write("HTTP/1.1 200 OK\r\n\r\nhalf of".getBytes(StandardCharsets.US_ASCII));
    }
  }

  private static void answerWithStatus(ServerSocket socket, String status) throws IOException {
    try (Socket connection = socket.accept()) {
      connection.getInputStream().readNBytes(FIRST_BYTES);
      String answer = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
      connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      connection.getInputStream().readAllBytes();
    }
  }

  private static void answerHalfAndReset(ServerSocket socket) throws IOException {
    try (Socket connection = socket.accept()) {
      connection.getInputStream().readNBytes(FIRST_BYTES);
      connection
          .getOutputStream()
          .write("HTTP/1.1 200 OK\r\n\r\nhalf of".getBytes(StandardCharsets.US_ASCII));
      await().pollDelay(RESET_DELAY).until(() -> true);
      connection.setSoLinger(true, 0);
    }
  }

  private String answerOf(int port, String uri) throws Exception {
    ServiceOutcome received = outcomeOf(port, uri, new byte[0]);
    return received instanceof ServiceOutcome.Answered answered
        ? new String(answered.answer().body(), StandardCharsets.UTF_8)
        : received.toString();
  }

  private ServiceOutcome outcomeOf(int port, String uri, byte[] body) throws Exception {
    CompletableFuture<ServiceOutcome> outcome = new CompletableFuture<>();
    ServiceRequest request =
        new ServiceRequest(
            service(port),
            body.length == 0 ? "GET" : "POST",
            uri,
            EmptyHttpHeaders.INSTANCE,
            body,
            "r1",
            Optional.empty(),
            TIMEOUT);
    client.send(request, () -> true, outcome::complete);
    return outcome.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static BackendServer service(int port) {
    return new BackendServer(
        "s1",
        "127.0.0.1",
        port,
        ServerKind.SERVICE,
        "dc1",
        Set.of(),
        Optional.of("s"),
        ServerState.LIVE,
        false);
  }

  /** Repeats the answer to the previous request before each answer on a connection in use. */
  private static void serveWithLateSecondAnswers(ServerSocket socket) {
    startThread(
        () -> {
          while (true) {
            Socket connection = socket.accept();
            startThread(() -> serve(connection));
          }
        });
  }

  private static void serve(Socket connection) throws IOException {
    BufferedReader requests =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    String previousAnswer = "";
    for (String line = requests.readLine(); line != null; line = requests.readLine()) {
      if (line.startsWith("GET ")) {
        String body = "answer to " + line.split(" ")[1];
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        connection
            .getOutputStream()
            .write((previousAnswer + answer).getBytes(StandardCharsets.US_ASCII));
        previousAnswer = answer;
      }
    }
  }

  /** A task of the server that ends when its socket closes. */
  private interface SocketTask {
    void run() throws IOException;
  }

  private static void startThread(SocketTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (SocketException e) {
                // The test is over.
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
