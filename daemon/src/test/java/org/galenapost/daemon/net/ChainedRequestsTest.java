package org.galenapost.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that are sent as soon as the answer to the previous one is complete. */
class ChainedRequestsTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String OTHER_ANSWER =
      "HTTP/1.1 200 OK\r\nCall-Id: none\r\nSeal: s\r\nContent-Length: 6\r\n\r\n/other";

  private final EventLoops eventLoops = new EventLoops(1);
  private final HttpClients clients = new HttpClients(eventLoops.group(), TIMEOUT);

  @AfterEach
  void stop() {
    clients.stop();
    eventLoops.stop();
  }

  /** The next request was written before the rest of the read that completed the answer. */
  @ParameterizedTest
  @ValueSource(strings = {OTHER_ANSWER, StutteringServer.PART_OF_HEAD, "noise\r\n"})
  void sendsNothingOnConnectionThatReceivedBytesWithTheAnswerBefore(String extra) throws Exception {
    try (StutteringServer server = new StutteringServer(extra, "")) {
      Response response =
          get(server, "/first")
              .thenCompose(first -> get(server, "/fail"))
              .get(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);

      assertThat(response.getStatusCode()).isEqualTo(500);
      assertThat(response.getResponseBody()).isEqualTo("/fail");
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  @Test
  void keepsConnectionOfSoundServer() throws Exception {
    try (StutteringServer server = new StutteringServer("", "")) {
      Response response =
          get(server, "/first")
              .thenCompose(first -> get(server, "/fail"))
              .get(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);

      assertThat(response.getStatusCode()).isEqualTo(500);
      assertThat(server.connectionCount()).isEqualTo(1);
    }
  }

  private CompletableFuture<Response> get(StutteringServer server, String path) {
    return clients
        .pooled()
        .prepareGet("http://127.0.0.1:" + server.port() + path)
        .setRequestTimeout(TIMEOUT)
        .execute()
        .toCompletableFuture();
  }
}
