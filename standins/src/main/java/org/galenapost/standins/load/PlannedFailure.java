package org.galenapost.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.galenapost.standins.json.Json;

/**
 * A failure injected during the run by a POST to a fault switch of a stand-in.
 *
 * @param atMs the time in milliseconds since the start of the run
 * @param post the URL of the request
 * @param body the JSON body, or null for an empty object
 */
public record PlannedFailure(long atMs, String post, JsonNode body) {

  private static final int MAX_PARTS = 3;

  /** Replaces a null body by an empty object. */
  public PlannedFailure {
    body = body == null ? JsonNodeFactory.instance.objectNode() : body;
  }

  /**
   * Parses a failure such as {@code 5000 http://127.0.0.1:9001/standin/freeze {"ms":3000}}.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  static PlannedFailure parse(String text) {
    String[] parts = text.split(" ", MAX_PARTS);
    try {
      JsonNode body = parts.length < MAX_PARTS ? null : Json.read(parts[2], JsonNode.class);
      return new PlannedFailure(Long.parseLong(parts[0]), parts[1], body);
    } catch (JsonProcessingException | NumberFormatException | IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("expected 'AT_MS URL [JSON]', but found " + text, e);
    }
  }
}
