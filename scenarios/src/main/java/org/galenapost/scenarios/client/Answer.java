package org.galenapost.scenarios.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The answer to one request while it arrives. The threads of {@link CallerClient} write it and the
 * scenario runner reads it; all access is synchronized.
 */
public final class Answer {

  private final String requestName;
  private final List<ReceivedToken> tokens = new ArrayList<>();
  private int status;
  private boolean ended;
  private boolean finished;
  private int newGenerations;
  private String lastEventId = "";
  private String body = "";
  private Optional<JsonNode> problem = Optional.empty();
  private Optional<String> failure = Optional.empty();

  /** Creates an empty answer to a request. */
  public Answer(String requestName) {
    this.requestName = requestName;
  }

  /** Returns the name of the request. */
  public String requestName() {
    return requestName;
  }

  synchronized void recordStatus(int newStatus) {
    status = newStatus;
  }

  synchronized void recordToken(ReceivedToken token) {
    tokens.add(token);
  }

  synchronized void recordEventId(String eventId) {
    lastEventId = eventId;
  }

  synchronized void recordNewGeneration() {
    newGenerations++;
    tokens.clear();
  }

  synchronized void recordFinished() {
    finished = true;
  }

  synchronized void recordProblem(JsonNode document) {
    problem = Optional.of(document);
  }

  synchronized void recordBody(String text) {
    body = text;
  }

  synchronized void recordFailure(String message) {
    failure = Optional.of(message);
  }

  synchronized void recordEnded() {
    ended = true;
  }

  /** Returns a copy of the tokens received so far. */
  public synchronized List<ReceivedToken> tokens() {
    return List.copyOf(tokens);
  }

  /** Returns the HTTP status, or 0 before a response arrives. */
  public synchronized int status() {
    return status;
  }

  /** Returns whether the client has stopped reading; the answer may be incomplete. */
  public synchronized boolean isEnded() {
    return ended;
  }

  /** Returns whether the stream ended with {@code [DONE]}. */
  public synchronized boolean isFinished() {
    return finished;
  }

  /** Returns the number of {@code new-generation} events, each of which discards all tokens. */
  public synchronized int newGenerations() {
    return newGenerations;
  }

  /** Returns the id of the latest token event that carries one, or an empty string. */
  public synchronized String lastEventId() {
    return lastEventId;
  }

  /** Returns the body of an answer that is not streamed. */
  public synchronized String body() {
    return body;
  }

  /** Returns the problem document if the request was refused or the stream ended with an error. */
  public synchronized Optional<JsonNode> problem() {
    return problem;
  }

  /** Returns the latest connection error, if any. */
  public synchronized Optional<String> failure() {
    return failure;
  }

  /** Returns the longest gap between two consecutive tokens in milliseconds. */
  public synchronized long longestGapMs() {
    long longestNanos = 0;
    for (int i = 1; i < tokens.size(); i++) {
      long gapNanos = tokens.get(i).arrivalNanos() - tokens.get(i - 1).arrivalNanos();
      longestNanos = Math.max(longestNanos, gapNanos);
    }
    return longestNanos / 1_000_000;
  }

  /** Returns the state of the answer as one line for failure messages. */
  public synchronized String describe() {
    return "request=%s status=%d tokens=%d finished=%s ended=%s new_generations=%d problem=%s"
            .formatted(requestName, status, tokens.size(), finished, ended, newGenerations, problem)
        + failure.map(text -> " failure=" + text).orElse("");
  }
}
