package org.galenapost.scenarios.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What one request has got so far; written by the client's threads, read by the runner. */
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

  /** Creates the record of a request that was just sent. */
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

  /** Returns the HTTP status, or 0 before it has come. */
  public synchronized int status() {
    return status;
  }

  /** Returns whether nothing more will come. */
  public synchronized boolean isEnded() {
    return ended;
  }

  /** Returns whether the answer was announced as complete. */
  public synchronized boolean isFinished() {
    return finished;
  }

  /** Returns how often a new generation was announced. */
  public synchronized int newGenerations() {
    return newGenerations;
  }

  /** Returns the id of the last event, empty before one has come. */
  public synchronized String lastEventId() {
    return lastEventId;
  }

  /** Returns the body of an answer that is no stream. */
  public synchronized String body() {
    return body;
  }

  /** Returns the problem document, if the request was refused. */
  public synchronized Optional<JsonNode> problem() {
    return problem;
  }

  /** Returns what broke the connection, if it broke. */
  public synchronized Optional<String> failure() {
    return failure;
  }

  /** Returns the longest gap between two tokens in milliseconds. */
  public synchronized long longestGapMs() {
    long longestNanos = 0;
    for (int i = 1; i < tokens.size(); i++) {
      long gapNanos = tokens.get(i).arrivalNanos() - tokens.get(i - 1).arrivalNanos();
      longestNanos = Math.max(longestNanos, gapNanos);
    }
    return longestNanos / 1_000_000;
  }

  /** Returns one line for messages. */
  public synchronized String describe() {
    return "request=%s status=%d tokens=%d finished=%s ended=%s new_generations=%d problem=%s"
            .formatted(requestName, status, tokens.size(), finished, ended, newGenerations, problem)
        + failure.map(text -> " failure=" + text).orElse("");
  }
}
