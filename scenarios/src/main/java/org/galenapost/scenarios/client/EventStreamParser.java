package org.galenapost.scenarios.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Parses the lines of a server-sent event stream and records the events in an answer. */
final class EventStreamParser {

  private static final ObjectMapper MAPPER = JsonMapper.builder().build();
  private static final String DONE = "[DONE]";

  private final Answer answer;
  private String eventName = "";
  private String eventId = "";
  private String data = "";

  EventStreamParser(Answer answer) {
    this.answer = answer;
  }

  void acceptLine(String line) {
    if (line.isEmpty()) {
      dispatchEvent();
    } else if (line.startsWith("id:")) {
      eventId = line.substring("id:".length()).strip();
    } else if (line.startsWith("event:")) {
      eventName = line.substring("event:".length()).strip();
    } else if (line.startsWith("data:")) {
      data = line.substring("data:".length()).stripLeading();
    }
  }

  private void dispatchEvent() {
    if (!data.isEmpty()) {
      dispatchData();
    }
    eventName = "";
    eventId = "";
    data = "";
  }

  private void dispatchData() {
    switch (eventName) {
      case "new-generation" -> answer.recordNewGeneration();
      case "error" -> answer.recordProblem(parse(data));
      default -> dispatchChunk();
    }
  }

  private void dispatchChunk() {
    if (data.strip().equals(DONE)) {
      answer.recordFinished();
      return;
    }
    JsonNode chunk = parse(data);
    JsonNode choice = chunk.path("choices").path(0);
    if (choice.path("finish_reason").isTextual()) {
      return;
    }
    int offset = chunk.path("galenapost").path("offset").asInt(-1);
    String text = choice.path("text").asText();
    answer.recordToken(new ReceivedToken(offset, text, System.nanoTime()));
    if (!eventId.isEmpty()) {
      answer.recordEventId(eventId);
    }
  }

  static JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      return MAPPER.createObjectNode().put("unreadable", json);
    }
  }
}
