package org.galenapost.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Gives prepared answers on loopback and notes what it was asked. */
final class FakeOperatorPort implements AutoCloseable {

  final List<String> requests = new ArrayList<>();
  private final Map<String, StubResponse> responsesByRequest = new HashMap<>();
  private final HttpServer server;

  FakeOperatorPort() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stubResponse(String request, int status, String json) {
    responsesByRequest.put(request, new StubResponse(status, json));
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
    requests.add(request);
    StubResponse answer = responsesByRequest.getOrDefault(request, new StubResponse(404, "{\"title\":\"not-found\"}"));
    byte[] body = answer.json().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(answer.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private record StubResponse(int status, String json) {}
}
