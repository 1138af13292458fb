package org.galenapost.daemon.engine;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.json.Json;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.net.IpAddresses;

/**
 * Speaks to engines over HTTP, by IP literal only. Streams and probes have connections of their
 * own, so that a stream is never lost on a connection that was about to close, and a probe never
 * shares the fate of a stream.
 */
public final class HttpEngineClient implements EngineClient {

  private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;

  private final HttpClients clients;

  /**
   * Creates a client.
   *
   * @param clients the daemon's HTTP clients
   */
  public HttpEngineClient(HttpClients clients) {
    this.clients = clients;
  }

  @Override
  public EngineCall start(
      BackendServer server, CompletionBody body, AttemptId attempt, EngineListener listener) {
    Request request =
        request("POST", server, "/v1/completions")
            .setRequestTimeout(NO_TIMEOUT)
            .setHeader("Content-Type", "application/json")
            .setBody(Json.write(body))
            .build();
    return stream(request, attempt, listener);
  }

  @Override
  public EngineCall attach(
      BackendServer server, AttemptId attempt, int fromOffset, EngineListener listener) {
    Request request =
        request("GET", server, "/v1/generations/" + attempt + "?from=" + fromOffset)
            .setRequestTimeout(NO_TIMEOUT)
            .build();
    return stream(request, attempt, listener);
  }

  private EngineCall stream(Request request, AttemptId attempt, EngineListener listener) {
    StreamHandler handler = new StreamHandler(attempt, listener);
    clients.unpooled().executeRequest(request, handler);
    return handler;
  }

  @Override
  public void cancel(BackendServer server, AttemptId attempt) {
    Request request =
        request("DELETE", server, "/v1/generations/" + attempt)
            .setRequestTimeout(CANCEL_TIMEOUT)
            .build();
    clients.pooled().executeRequest(request);
  }

  @Override
  public CompletionStage<Boolean> probe(BackendServer server, Duration timeout) {
    Request request = request("GET", server, "/health").setRequestTimeout(timeout).build();
    CompletableFuture<Boolean> answered = new CompletableFuture<>();
    clients
        .unpooled()
        .executeRequest(request)
        .toCompletableFuture()
        .whenComplete(
            (response, error) ->
                answered.complete(error == null && response.getStatusCode() == OK));
    return answered;
  }

  private static RequestBuilder request(String method, BackendServer server, String path) {
    String host = server.ip().contains(":") ? "[" + server.ip() + "]" : server.ip();
    return new RequestBuilder(method)
        .setUrl("http://" + host + ":" + server.port() + path)
        .setAddress(IpAddresses.address(server.ip()));
  }
}
