package org.galenapost.daemon.load;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.json.Json;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.net.IpAddresses;

/** Sends one poll to an engine and reads the answer; a poll that fails is no answer. */
final class EnginePollClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int OK = 200;

  private final HttpClients clients;

  EnginePollClient(HttpClients clients) {
    this.clients = clients;
  }

  /**
   * Polls an engine.
   *
   * @param onAnswer called once, with nothing if the poll failed
   */
  <T> void poll(BackendServer server, String path, Class<T> type, Consumer<Optional<T>> onAnswer) {
    clients
        .pooled()
        .executeRequest(request(server, path))
        .toCompletableFuture()
        .whenComplete(
            (response, error) ->
                onAnswer.accept(error == null ? read(response, type) : Optional.empty()));
  }

  private static <T> Optional<T> read(Response response, Class<T> type) {
    return response.getStatusCode() == OK
        ? Json.read(response.getResponseBody(), type).toJavaOptional()
        : Optional.empty();
  }

  private static Request request(BackendServer server, String path) {
    String host = server.ip().contains(":") ? "[" + server.ip() + "]" : server.ip();
    return new RequestBuilder("GET")
        .setUrl("http://" + host + ":" + server.port() + path)
        .setAddress(IpAddresses.address(server.ip()))
        .setRequestTimeout(TIMEOUT)
        .build();
  }
}
