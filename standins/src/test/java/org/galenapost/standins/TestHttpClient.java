package org.galenapost.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.stream.Stream;
import org.galenapost.standins.json.Json;

/** Calls a stand-in over loopback. */
public final class TestHttpClient {

  private final HttpClient client = HttpClient.newHttpClient();
  private final int port;

  public TestHttpClient(int port) {
    this.port = port;
  }

  public HttpResponse<String> call(String method, String path, String body, String... headers) {
    return send(request(method, path, body, headers), BodyHandlers.ofString());
  }

  public JsonNode json(String method, String path, String body, String... headers) {
    return read(call(method, path, body, headers).body());
  }

  public void post(String path, String body) {
    call("POST", path, body);
  }

  public HttpResponse<InputStream> openStream(String method, String path, String body) {
    return send(request(method, path, body), BodyHandlers.ofInputStream());
  }

  public HttpResponse<Stream<String>> openLines(String method, String path, String body) {
    return send(request(method, path, body), BodyHandlers.ofLines());
  }

  /** Returns the tokens of a stream with their offsets, up to its end. */
  public List<JsonNode> readChunks(String method, String path, String body) {
    return openLines(method, path, body).body().filter(TestHttpClient::isChunkLine).map(TestHttpClient::parseChunkLine).toList();
  }

  public static String textOf(List<JsonNode> chunks) {
    return String.join("", chunks.stream().map(TestHttpClient::token).toList());
  }

  public static boolean isChunkLine(String line) {
    return line.startsWith("data: {");
  }

  public static JsonNode parseChunkLine(String line) {
    return read(line.substring("data: ".length()));
  }

  private static String token(JsonNode chunk) {
    return chunk.at("/choices/0/text").asText();
  }

  private static JsonNode read(String json) {
    try {
      return Json.read(json, JsonNode.class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private HttpRequest request(String method, String path, String body, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .version(HttpClient.Version.HTTP_1_1)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    return headers.length == 0 ? builder.build() : builder.headers(headers).build();
  }

  private <T> HttpResponse<T> send(HttpRequest request, HttpResponse.BodyHandler<T> handler) {
    try {
      return client.send(request, handler);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
