package org.galenapost.daemon.engine;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.json.Json;
import org.galenapost.core.order.EngineControl;
import org.galenapost.core.order.EngineOrder;
import org.galenapost.core.order.EngineState;
import org.galenapost.core.order.OrderAnswer;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.net.IpAddresses;

/**
 * Reads the state of engines and gives them orders over HTTP. An order has a connection of its own
 * and is never sent twice.
 */
public final class HttpEngineControl implements EngineControl {

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpClients clients;
  private final Duration stateTimeout;
  private final Duration orderTimeout;

  /**
   * Creates a client.
   *
   * @param clients the daemon's HTTP clients
   * @param stateTimeout how long an engine may take to tell its state
   * @param orderTimeout how long an engine may take to answer an order
   */
  public HttpEngineControl(HttpClients clients, Duration stateTimeout, Duration orderTimeout) {
    this.clients = clients;
    this.stateTimeout = stateTimeout;
    this.orderTimeout = orderTimeout;
  }

  /** The answer to an order with an old number. */
  private record FencedAnswer(long currentFencingNumber) {}

  @Override
  public CompletionStage<Either<String, EngineState>> state(BackendServer server) {
    Request request = request("GET", server, "/v1/state").setRequestTimeout(stateTimeout).build();
    CompletableFuture<Either<String, EngineState>> state = new CompletableFuture<>();
    responseOf(clients.pooled().executeRequest(request))
        .whenComplete(
            (response, error) ->
                state.complete(error != null ? Either.left(detailOf(error)) : readState(response)));
    return state;
  }

  private static Either<String, EngineState> readState(Response response) {
    return response.getStatusCode() == OK
        ? Json.read(response.getResponseBody(), EngineState.class)
        : Either.left("status " + response.getStatusCode());
  }

  @Override
  public CompletionStage<OrderAnswer> order(BackendServer server, EngineOrder order) {
    Request request =
        request("POST", server, "/v1/orders")
            .setRequestTimeout(orderTimeout)
            .setHeader("Content-Type", "application/json")
            .setBody(Json.write(order))
            .build();
    CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
    responseOf(clients.unpooled().executeRequest(request))
        .whenComplete(
            (response, error) ->
                answer.complete(
                    error != null ? new OrderAnswer.Lost(detailOf(error)) : toAnswer(response)));
    return answer;
  }

  private static OrderAnswer toAnswer(Response response) {
    return switch (response.getStatusCode()) {
      case OK -> new OrderAnswer.Applied();
      case CONFLICT ->
          new OrderAnswer.Fenced(
              Json.read(response.getResponseBody(), FencedAnswer.class)
                  .map(FencedAnswer::currentFencingNumber)
                  .getOrElse(0L));
      default -> new OrderAnswer.Rejected("status " + response.getStatusCode());
    };
  }

  private static CompletableFuture<Response> responseOf(ListenableFuture<Response> call) {
    return call.toCompletableFuture();
  }

  private static String detailOf(Throwable error) {
    return error.getClass().getSimpleName() + ": " + error.getMessage();
  }

  private static RequestBuilder request(String method, BackendServer server, String path) {
    String host = server.ip().contains(":") ? "[" + server.ip() + "]" : server.ip();
    return new RequestBuilder(method)
        .setUrl("http://" + host + ":" + server.port() + path)
        .setAddress(IpAddresses.address(server.ip()));
  }
}
