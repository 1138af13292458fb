package org.galenapost.standins.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.galenapost.standins.TestHttpClient;
import org.galenapost.standins.service.ServiceStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LinkStandinTest {

  private final ServiceStandin service = new ServiceStandin(0, () -> {});
  private LinkStandin link;
  private TestHttpClient linkClient;
  private TestHttpClient serviceClient;
  private TestHttpClient controlClient;

  @BeforeEach
  void start() {
    service.start();
    InetSocketAddress target =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), service.port());
    link = new LinkStandin(0, 0, target);
    link.start();
    linkClient = new TestHttpClient(link.port());
    serviceClient = new TestHttpClient(service.port());
    controlClient = new TestHttpClient(link.controlPort().orElseThrow());
  }

  @AfterEach
  void stop() {
    link.stop();
    service.stop();
  }

  @Test
  void holdsBytesBackUntilHealed() {
    // GIVEN
    call("before");
    controlClient.post("/standin/cut", "{}");

    // WHEN
    CompletableFuture<Integer> heldCall = CompletableFuture.supplyAsync(() -> call("during"));
    String runsDuring = runs();
    controlClient.post("/standin/heal", "");

    // THEN
    assertThat(runsDuring).isEqualTo("{\"before\":1}");
    assertThat(heldCall.join()).isEqualTo(200);
  }

  @Test
  void forwardsRequestsButHoldsResponsesDuringAOneWayCut() {
    // GIVEN an open connection
    call("before");
    controlClient.post("/standin/cut", "{\"direction\":\"from-target\"}");

    // WHEN
    CompletableFuture<Integer> heldCall = CompletableFuture.supplyAsync(() -> call("during"));
    await().until(() -> runs().contains("during"));

    // THEN
    assertThat(heldCall).isNotDone();
    controlClient.post("/standin/heal", "");
    assertThat(heldCall.join()).isEqualTo(200);
  }

  @Test
  void resetsAConnectionWithADroppedResponse() {
    // GIVEN
    controlClient.post("/standin/drop-answers", "");
    CompletableFuture<Integer> droppedCall = CompletableFuture.supplyAsync(() -> call("k1"));
    await().until(() -> runs().contains("k1"));
    serviceClient.call("GET", "/health", "");

    // WHEN
    await()
        .until(
            () -> {
              controlClient.post("/standin/heal", "");
              controlClient.post("/standin/drop-answers", "");
              return droppedCall.isDone();
            });

    // THEN
    assertThat(droppedCall).isCompletedExceptionally();
  }

  @Test
  void resetsOpenConnections() {
    // GIVEN
    controlClient.post("/standin/delay", "{\"delay_ms\":60000}");
    CompletableFuture<Integer> delayedCall = CompletableFuture.supplyAsync(() -> call("k1"));
    await()
        .until(() -> controlClient.call("GET", "/standin/status", "").body().contains("ons\":1"));

    // WHEN
    controlClient.post("/standin/reset", "");

    // THEN
    assertThatThrownBy(delayedCall::join).hasRootCauseInstanceOf(IOException.class);
    assertThat(runs()).isEqualTo("{}");
  }

  @Test
  void preservesByteOrderWhenTheDelayChanges() throws IOException {
    int numbers = 3_000;
    try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      link.setTarget((InetSocketAddress) target.getLocalSocketAddress());
      try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), link.port());
          Socket receiver = target.accept();
          DataOutputStream output = new DataOutputStream(sender.getOutputStream());
          DataInputStream input = new DataInputStream(receiver.getInputStream())) {
        sender.setTcpNoDelay(true);
        for (int number = 0; number < numbers; number++) {
          if (number % 10 == 0) {
            link.setDelay(Duration.ofMillis(number / 10 % 2 * 3));
          }
          output.writeInt(number);
        }

        for (int number = 0; number < numbers; number++) {
          assertThat(input.readInt()).isEqualTo(number);
        }
      }
    }
  }

  @Test
  void rejectsANonLoopbackTarget() {
    // WHEN
    int status =
        controlClient.call("POST", "/standin/target", "{\"target\":\"10.0.0.1:80\"}").statusCode();

    // THEN
    assertThat(status).isEqualTo(400);
  }

  private int call(String key) {
    try {
      return linkClient.call("POST", "/call", "", "Idempotency-Key", key).statusCode();
    } catch (UncheckedIOException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  private String runs() {
    return serviceClient.call("GET", "/standin/runs", "").body();
  }
}
