package org.galenapost.scenarios.client;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;

/** Sends requests as a caller does, each on its own thread, and records the answers. */
public final class CallerClient implements AutoCloseable {

  private static final ObjectMapper MAPPER = JsonMapper.builder().build();
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(90);
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(100);
  private static final int MAX_CONNECTIONS_PER_REQUEST = 40;

  private final ExecutorService executor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "caller");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(executor)
          .build();

  /**
   * Sends a completion asynchronously. A call that reconnects resumes a broken stream at the next
   * address with {@code Last-Event-ID}.
   *
   * @param requestName the name of the request in failure messages
   * @param call the completion request
   * @return the answer, filled while it arrives
   */
  public Answer sendCompletion(String requestName, CompletionCall call) {
    Answer answer = new Answer(requestName);
    executor.execute(() -> runCompletion(call, answer));
    return answer;
  }

  /**
   * Calls a plain service asynchronously.
   *
   * @param requestName the name of the request in failure messages
   * @param address the caller address of the daemon, {@code ip:port}
   * @param workspaceKey the bearer key of the workspace
   * @param service the name of the service
   * @param body the JSON body
   * @param idempotencyKey the idempotency key, if any
   * @param profile the profile, if not the default
   * @return the answer, filled while it arrives
   */
  public Answer callService(
      String requestName,
      String address,
      String workspaceKey,
      String service,
      String body,
      Optional<String> idempotencyKey,
      Optional<String> profile) {
    HttpRequest.Builder request =
        requestBuilder(address, "/v1/services/" + service + "/run", workspaceKey)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    idempotencyKey.ifPresent(key -> request.header("Idempotency-Key", key));
    profile.ifPresent(name -> request.header("Galenapost-Profile", name));
    Answer answer = new Answer(requestName);
    executor.execute(() -> callOnce(request.build(), answer));
    return answer;
  }

  private void callOnce(HttpRequest request, Answer answer) {
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      answer.recordStatus(response.statusCode());
      answer.recordBody(response.body());
      if (isProblem(response)) {
        answer.recordProblem(EventStreamParser.parse(response.body()));
      }
    } catch (java.io.IOException e) {
      answer.recordFailure(String.valueOf(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    answer.recordEnded();
  }

  private void runCompletion(CompletionCall call, Answer answer) {
    int connections = 0;
    boolean shouldReconnect = true;
    while (shouldReconnect && connections < MAX_CONNECTIONS_PER_REQUEST) {
      String address = call.addresses().get(connections % call.addresses().size());
      streamOnce(call, address, answer);
      connections++;
      shouldReconnect = call.reconnects() && !answer.isFinished() && answer.problem().isEmpty();
      if (shouldReconnect) {
        pauseBeforeReconnect();
      }
    }
    answer.recordEnded();
  }

  private void streamOnce(CompletionCall call, String address, Answer answer) {
    try {
      HttpResponse<Stream<String>> response =
          http.send(completionRequest(call, address, answer), HttpResponse.BodyHandlers.ofLines());
      answer.recordStatus(response.statusCode());
      try (Stream<String> lines = response.body()) {
        readLines(response, lines, answer);
      }
    } catch (java.io.IOException | java.io.UncheckedIOException e) {
      answer.recordFailure(String.valueOf(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void readLines(HttpResponse<?> response, Stream<String> lines, Answer answer) {
    if (isProblem(response)) {
      answer.recordProblem(EventStreamParser.parse(String.join("\n", lines.toList())));
      return;
    }
    EventStreamParser events = new EventStreamParser(answer);
    lines.forEach(events::acceptLine);
  }

  private HttpRequest completionRequest(CompletionCall call, String address, Answer answer) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("model", call.model());
    body.put("prompt", call.prompt());
    body.put("seed", call.seed());
    body.put("max_tokens", call.maxTokens());
    body.put("temperature", 0.0);
    body.put("stream", true);
    HttpRequest.Builder request =
        requestBuilder(address, "/v1/completions", call.workspaceKey())
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
    call.profile().ifPresent(name -> request.header("Galenapost-Profile", name));
    call.idempotencyKey().ifPresent(key -> request.header("Idempotency-Key", key));
    if (!answer.lastEventId().isEmpty()) {
      request.header("Last-Event-ID", answer.lastEventId());
    }
    return request.build();
  }

  private static HttpRequest.Builder requestBuilder(
      String address, String path, String workspaceKey) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(RESPONSE_TIMEOUT)
        .header("Authorization", "Bearer " + workspaceKey)
        .header("Content-Type", "application/json");
  }

  private static boolean isProblem(HttpResponse<?> response) {
    return response
        .headers()
        .firstValue("Content-Type")
        .filter(type -> type.startsWith("application/problem+json"))
        .isPresent();
  }

  private static void pauseBeforeReconnect() {
    try {
      Thread.sleep(RECONNECT_DELAY.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
