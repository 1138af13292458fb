package org.galenapost.daemon.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.order.EngineOrder;
import org.galenapost.core.order.OrderAction;
import org.galenapost.core.order.OrderAnswer;
import org.galenapost.core.order.OrderStep;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.net.StutteringServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpEngineControlTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final EngineOrder ORDER =
      new EngineOrder(
          "o-1",
          "t-1",
          7,
          new OrderStep(
              OrderAction.CHANGE_ROLE,
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              Optional.of("prefill")));

  private final EventLoops eventLoops = new EventLoops(1);
  private final HttpClients clients = new HttpClients(eventLoops.group(), TIMEOUT);
  private final HttpEngineControl control = new HttpEngineControl(clients, TIMEOUT, TIMEOUT);

  @AfterEach
  void stop() {
    clients.stop();
    eventLoops.stop();
  }

  /** The engine applied the order; an outcome read from a part of another answer would hide it. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        StutteringServer.PART_OF_HEAD,
        "HTTP/1.1 409 Conflict\r\nServer: stutt",
        "HTTP/1.1 500 Fai",
        "HTTP/1.1 4",
        "noise"
      })
  void countsOrderAsLostAfterPartOfAnotherAnswer(String part) throws Exception {
    try (StutteringServer engine = StutteringServer.fromFirstAnswerOn(part)) {
      OrderAnswer answer =
          control.order(engineAt(engine.port()), ORDER).toCompletableFuture().get();

      assertThat(answer).isInstanceOf(OrderAnswer.Lost.class);
    }
  }

  private static BackendServer engineAt(int port) {
    return new BackendServer(
        "s1",
        "127.0.0.1",
        port,
        ServerKind.ENGINE,
        "dc1",
        Set.of("m1"),
        Optional.empty(),
        ServerState.LIVE,
        true);
  }
}
