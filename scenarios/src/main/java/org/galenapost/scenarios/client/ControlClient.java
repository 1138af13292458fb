package org.galenapost.scenarios.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/** HTTP client for the control port of a stand-in and the operator port of a daemon. */
public final class ControlClient {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  /**
   * A reply from a control port.
   *
   * @param status the HTTP status, or 0 if the request failed
   * @param body the response body, or the error if the request failed
   */
  public record Reply(int status, String body) {

    /** Returns the body as JSON, or {@code {"unreadable": body}} if it is not valid JSON. */
    public JsonNode json() {
      return EventStreamParser.parse(body);
    }
  }

  /** Sends a request with an optional bearer token and waits for the reply. */
  public Reply send(String method, String url, Optional<String> token, String body) {
    HttpRequest.Builder request = requestBuilder(method, url, body);
    token.ifPresent(value -> request.header("Authorization", "Bearer " + value));
    return exchange(request.build());
  }

  /** Creates an object through the platform's object API if it does not exist. */
  public Reply putIfAbsent(String url, String body) {
    return exchange(requestBuilder("PUT", url, body).header("If-None-Match", "*").build());
  }

  private static HttpRequest.Builder requestBuilder(String method, String url, String body) {
    return HttpRequest.newBuilder(URI.create(url))
        .timeout(REQUEST_TIMEOUT)
        .header("Content-Type", "application/json")
        .method(method, HttpRequest.BodyPublishers.ofString(body));
  }

  private Reply exchange(HttpRequest request) {
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Reply(0, String.valueOf(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(0, "interrupted");
    }
  }

  /** Sends a GET request without a token. */
  public Reply get(String url) {
    return send("GET", url, Optional.empty(), "");
  }
}
