package org.galenapost.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.galenapost.core.json.Json;

/** Calls the operator port of one daemon and waits for each answer. */
public final class OperatorClient implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
  private static final String GET = "GET";

  private final DaemonAddress daemon;
  private final String token;
  private final AsyncHttpClient http;

  /** Creates a client. */
  public OperatorClient(DaemonAddress daemon, String token) {
    this.daemon = daemon;
    this.token = token;
    this.http =
        Dsl.asyncHttpClient(
            Dsl.config()
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setRequestTimeout(REQUEST_TIMEOUT)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false));
  }

  /** Returns a text in the form that a path or a query takes. */
  public static String urlEncode(String part) {
    return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /** Reads a document. */
  public Either<CommandFailure, DaemonResponse> get(String path) {
    return call(GET, path, Optional.empty());
  }

  /** Reads a document; any refusal is a failure. */
  public Either<CommandFailure, JsonNode> getDocument(String path) {
    return get(path).flatMap(OperatorClient::documentOf);
  }

  /** Writes a document. */
  public Either<CommandFailure, DaemonResponse> put(String path, String json) {
    return call("PUT", path, Optional.of(json));
  }

  /** Asks for an action; any refusal is a failure. */
  public Either<CommandFailure, JsonNode> post(String path, String json) {
    return call("POST", path, Optional.of(json)).flatMap(OperatorClient::documentOf);
  }

  /** Deletes something. */
  public Either<CommandFailure, DaemonResponse> delete(String path) {
    return call("DELETE", path, Optional.empty());
  }

  @Override
  public void close() {
    try {
      http.close();
    } catch (IOException e) {
      throw new IllegalStateException("the HTTP client did not close", e);
    }
  }

  private static Either<CommandFailure, JsonNode> documentOf(DaemonResponse answer) {
    return answer.isSuccess()
        ? Either.right(answer.document())
        : Either.left(new CommandFailure(answer.exitCode(), List.of(answer.describe())));
  }

  private Either<CommandFailure, DaemonResponse> call(
      String method, String path, Optional<String> body) {
    RequestBuilder request =
        new RequestBuilder(method)
            .setUrl(daemon.url(path))
            .setAddress(daemon.ip())
            .setHeader("Authorization", "Bearer " + token);
    body.ifPresent(json -> request.setHeader("Content-Type", "application/json").setBody(json));
    try {
      return Either.right(answerOf(http.executeRequest(request.build()).get()));
    } catch (ExecutionException e) {
      return Either.left(failureOf(method, e.getCause()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left(CommandFailure.unreachable(daemon, "interrupted"));
    }
  }

  private CommandFailure failureOf(String method, Throwable cause) {
    boolean isUnsent = cause instanceof ConnectException || method.equals(GET);
    String detail = cause.getMessage() == null ? cause.toString() : cause.getMessage();
    return isUnsent
        ? CommandFailure.unreachable(daemon, detail)
        : CommandFailure.outcomeUnknown(daemon, detail);
  }

  private static DaemonResponse answerOf(Response response) {
    JsonNode document =
        Json.read(response.getResponseBody(StandardCharsets.UTF_8), JsonNode.class)
            .getOrElse(JsonNodeFactory.instance::objectNode);
    return new DaemonResponse(response.getStatusCode(), document);
  }
}
