package org.galenapost.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines and services on a connection that carries parts of another answer. */
class HttpClientsTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IDLE_TIME = Duration.ofMillis(100);

  private final EventLoops eventLoops = new EventLoops(1);
  private final HttpClients clients = new HttpClients(eventLoops.group(), TIMEOUT);

  @AfterEach
  void stop() {
    clients.stop();
    eventLoops.stop();
  }

  /** The bytes were decoded together with the next answer, which was lost or got their status. */
  @ParameterizedTest
  @ValueSource(strings = {StutteringServer.PART_OF_HEAD, "HTTP/1.1 2", "noise", "noise\r\n"})
  void sendsNothingOnConnectionThatReceivedBytesWhileIdle(String part) throws Exception {
    try (StutteringServer server = new StutteringServer(part, "")) {
      get(server, "/first");
      await().pollDelay(IDLE_TIME).until(() -> true);

      Response response = get(server, "/fail");

      assertThat(response.getStatusCode()).isEqualTo(500);
      assertThat(response.getResponseBody()).isEqualTo("/fail");
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  @Test
  void doesNotGiveAnswerTheStatusOfPartOfAnotherOne() throws Exception {
    try (StutteringServer server = new StutteringServer("", StutteringServer.PART_OF_HEAD)) {
      get(server, "/first");

      assertThatThrownBy(() -> get(server, "/fail"))
          .isInstanceOf(ExecutionException.class)
          .hasMessageContaining("a head made of two");
    }
  }

  @Test
  void keepsConnectionOfSoundServer() throws Exception {
    try (StutteringServer server = new StutteringServer("", "")) {
      get(server, "/first");
      get(server, "/fail");
      Response response = get(server, "/third");

      assertThat(response.getResponseBody()).isEqualTo("/third");
      assertThat(server.connectionCount()).isEqualTo(1);
    }
  }

  private Response get(StutteringServer server, String path) throws Exception {
    return clients
        .pooled()
        .prepareGet("http://127.0.0.1:" + server.port() + path)
        .setRequestTimeout(TIMEOUT)
        .execute()
        .get();
  }
}
