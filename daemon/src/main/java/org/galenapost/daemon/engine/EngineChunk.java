package org.galenapost.daemon.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectReader;
import io.vavr.control.Either;
import java.util.List;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.EngineEvent;
import org.galenapost.core.json.Json;

/**
 * A JSON chunk of an engine's stream.
 *
 * @param id the attempt id
 * @param model the model name
 * @param version the model version
 * @param choices a list of exactly one choice
 * @param offset the token offset in the answer
 */
record EngineChunk(String id, String model, String version, List<Choice> choices, Integer offset) {

  private static final ObjectReader READER = Json.newMapper().readerFor(EngineChunk.class);

  /**
   * The single choice of a chunk.
   *
   * @param text the text of the token
   * @param finishReason the finish reason, or null before the last chunk
   */
  record Choice(String text, String finishReason) {}

  /**
   * Parses the data of a server-sent event.
   *
   * @param data the JSON text of a chunk
   * @param attempt the attempt that the chunk is expected to name
   * @return the event, or a message that describes why the data is malformed
   */
  static Either<String, EngineEvent> read(String data, AttemptId attempt) {
    try {
      EngineChunk chunk = READER.readValue(data);
      return chunk.toEvent(attempt);
    } catch (JsonProcessingException e) {
      return Either.left(e.getOriginalMessage());
    }
  }

  private Either<String, EngineEvent> toEvent(AttemptId expected) {
    boolean isComplete =
        id != null
            && model != null
            && version != null
            && offset != null
            && choices != null
            && choices.size() == 1;
    if (!isComplete) {
      return Either.left("a chunk must have id, model, version, offset and exactly one choice");
    }
    AttemptId attempt =
        expected.toString().equals(id) ? expected : AttemptId.parse(id).orElse(null);
    if (attempt == null) {
      return Either.left("expected a chunk of attempt " + expected + ", but its id is " + id);
    }
    Choice choice = choices.get(0);
    if (choice.finishReason() != null) {
      return Either.right(
          new EngineEvent.Finish(attempt, offset, model, version, choice.finishReason()));
    }
    return choice.text() == null
        ? Either.left("the choice of a chunk has neither text nor finish_reason")
        : Either.right(new EngineEvent.Token(attempt, offset, model, version, choice.text()));
  }
}
