package org.galenapost.standins.load;

import static io.netty.handler.codec.http.HttpMethod.POST;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenapost.standins.engine.EngineText;
import org.galenapost.standins.http.EventStream;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.Routes;
import org.galenapost.standins.json.Json;

/** A stub of a caller port that serves correct generations, or injects one kind of fault. */
final class StubCallerPort implements AutoCloseable {

  enum Fault {
    NONE,
    BREAK_STREAM_ONCE,
    WRONG_TOKEN,
    DUPLICATE_TOKEN,
    REFUSE_REQUESTS
  }

  private final HttpServer server = HttpServer.onPort(0);
  private final Fault fault;
  private final AtomicInteger streams = new AtomicInteger();

  StubCallerPort(Fault fault) {
    this.fault = fault;
    server.start(Routes.create().on(POST, "/v1/completions", this::complete));
  }

  String address() {
    return HttpServer.LOOPBACK_IP + ":" + server.port();
  }

  @Override
  public void close() {
    server.stop();
  }

  private void complete(Exchange exchange) {
    if (fault == Fault.REFUSE_REQUESTS) {
      exchange.reply(
          429,
          "application/problem+json",
          "{\"reason\":\"queue-full\",\"verdict\":\"not-run\",\"retry_after_ms\":5}");
      return;
    }
    JsonNode body = exchange.body(JsonNode.class);
    int maxTokens = body.path("max_tokens").asInt();
    List<String> tokens = text(body).tokens(maxTokens);
    int firstOffset = exchange.header("Last-Event-ID").map(Integer::parseInt).orElse(-1) + 1;
    boolean breaksStream = fault == Fault.BREAK_STREAM_ONCE && streams.getAndIncrement() == 0;
    EventStream stream = exchange.openEventStream();
    for (int offset = firstOffset; offset < (breaksStream ? maxTokens / 2 : maxTokens); offset++) {
      send(stream, offset, tokens.get(offset));
    }
    if (breaksStream) {
      stream.writeRaw("data: {".getBytes(StandardCharsets.UTF_8));
      stream.close();
      return;
    }
    stream.write("{\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}");
    stream.write("[DONE]");
    stream.end();
  }

  private void send(EventStream stream, int offset, String token) {
    String sent = fault == Fault.WRONG_TOKEN && offset == 3 ? token + "x" : token;
    String event =
        "{\"choices\":[{\"text\":%s,\"finish_reason\":null}],\"galenapost\":{\"offset\":%d}}"
            .formatted(Json.write(sent), offset);
    stream.write(event + "\nid: " + offset);
    if (fault == Fault.DUPLICATE_TOKEN && offset == 3) {
      stream.write(event + "\nid: " + offset);
    }
  }

  private static EngineText text(JsonNode body) {
    return EngineText.of(
        body.path("prompt").asText(), body.path("seed").asLong(), "m1", "v1", Optional.empty());
  }
}
