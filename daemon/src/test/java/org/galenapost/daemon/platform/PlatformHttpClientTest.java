package org.galenapost.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.Response;
import org.galenapost.core.platform.PlatformCircuitBreaker;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.StutteringServer;
import org.galenapost.daemon.settings.PlatformSettings;
import org.galenapost.daemon.settings.SocketAddressSetting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlatformHttpClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RESET_DELAY = Duration.ofMillis(100);
  private static final int FIRST_BYTES = 16;

  /** The end of a connection also ends an answer without a length, but a reset breaks it off. */
  @Test
  void doesNotTakeAnswerWithoutLengthForWholeIfItsConnectionIsReset() throws Exception {
    EventLoops eventLoops = new EventLoops(1);
    try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      PlatformHttpClient client = client(eventLoops, socket.getLocalPort());
      CompletableFuture<Void> server = CompletableFuture.runAsync(() -> answerHalfAndReset(socket));

      Either<PlatformError, Response> result = resultOf(client, "/objects/servers");

      assertThat(result.getLeft()).isInstanceOf(PlatformError.AnswerLost.class);
      server.join();
      client.stop();
    } finally {
      eventLoops.stop();
    }
  }

  /** A write whose answer cannot be read may have been done. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "1000", "0200"})
  void takesAnswerWithStatusThatIsNoneOfHttpForLost(String status) throws Exception {
    EventLoops eventLoops = new EventLoops(1);
    try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      PlatformHttpClient client = client(eventLoops, socket.getLocalPort());
      CompletableFuture<Void> server =
          CompletableFuture.runAsync(() -> answerWithStatus(socket, status));

      Either<PlatformError, Response> result = resultOf(client, "/objects/servers");

      assertThat(result.getLeft()).isInstanceOf(PlatformError.AnswerLost.class);
      client.stop();
      server.join();
    } finally {
      eventLoops.stop();
    }
  }

  /** The regular end that precedes the reset made a part of the answer look whole. */
  @Test
  void takesAnswerForLostIfTheStoreClosesWithTheRequestUnread() throws Exception {
    EventLoops eventLoops = new EventLoops(1);
    try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      PlatformHttpClient client = client(eventLoops, socket.getLocalPort());
      CompletableFuture<Void> server = CompletableFuture.runAsync(() -> answerHalfAndClose(socket));
      String json = "\"" + "x".repeat(400_000) + "\"";

      Either<PlatformError, Response> result =
          client
              .call(client.jsonRequest("PUT", "/objects/a/b", json))
              .toCompletableFuture()
              .get(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);

      assertThat(result.isLeft()).isTrue();
      assertThat(result.getLeft()).isInstanceOf(PlatformError.AnswerLost.class);
      client.stop();
      server.join();
    } finally {
      eventLoops.stop();
    }
  }

  /** A write that had failed was taken for done, or the next call was lost. */
  @ParameterizedTest
  @CsvSource({"true, false", "false, true"})
  void doesNotGiveAnswerOfStoreTheStatusOfPartOfAnotherOne(boolean isIdle, boolean isLost)
      throws Exception {
    EventLoops eventLoops = new EventLoops(1);
    String part = StutteringServer.PART_OF_HEAD;
    try (StutteringServer store = new StutteringServer(isIdle ? part : "", isIdle ? "" : part)) {
      PlatformHttpClient client = client(eventLoops, store.port());
      resultOf(client, "/objects/a");
      await().pollDelay(RESET_DELAY).until(() -> true);

      Either<PlatformError, Response> result = resultOf(client, "/objects/b");

      if (isLost) {
        assertThat(result.getLeft()).isInstanceOf(PlatformError.AnswerLost.class);
      } else {
        assertThat(result.get().getResponseBody()).isEqualTo("/objects/b");
      }
      client.stop();
    } finally {
      eventLoops.stop();
    }
  }

  private static Either<PlatformError, Response> resultOf(PlatformHttpClient client, String path)
      throws Exception {
    return client
        .call(client.request("GET", path))
        .toCompletableFuture()
        .get(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static PlatformHttpClient client(EventLoops eventLoops, int port) {
    PlatformSettings settings =
        new PlatformSettings(new SocketAddressSetting("127.0.0.1", port), TIMEOUT, TIMEOUT, false);
    return new PlatformHttpClient(
        settings, new PlatformCircuitBreaker(MonotonicClock.system()), eventLoops.group());
  }

  private static void answerWithStatus(ServerSocket socket, String status) {
    try (Socket connection = socket.accept()) {
      connection.getInputStream().readNBytes(FIRST_BYTES);
      String answer = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}";
      connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      connection.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static void answerHalfAndClose(ServerSocket socket) {
    try (Socket connection = socket.accept()) {
      connection.getInputStream().readNBytes(FIRST_BYTES);
      connection
          .getOutputStream()
          .write("HTTP/1.1 200 OK\r\n\r\n{\"entries\":[".getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void answerHalfAndReset(ServerSocket socket) {
    try (Socket connection = socket.accept()) {
      connection.getInputStream().readNBytes(FIRST_BYTES);
      connection
          .getOutputStream()
          .write("HTTP/1.1 200 OK\r\n\r\n{\"entries\":[".getBytes(StandardCharsets.US_ASCII));
      await().pollDelay(RESET_DELAY).until(() -> true);
      connection.setSoLinger(true, 0);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
