package org.galenapost.daemon.caller.answer;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/**
 * A part of a generation, or all of it, in the shape that clients of completion APIs know.
 *
 * @param id the id of the generation
 * @param object the type of the document
 * @param model the model
 * @param choices the text; always one
 * @param galenapost the place in the answer, for a token
 */
public record CompletionChunk(
    String id,
    String object,
    String model,
    List<Choice> choices,
    @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<Position> galenapost) {

  private static final String OBJECT = "text_completion";

  /**
   * The text of a chunk.
   *
   * @param index always 0
   * @param text the text
   * @param finishReason why the answer ended, if it has
   */
  public record Choice(int index, String text, Optional<String> finishReason) {}

  /**
   * The place of a token in the answer.
   *
   * @param offset the position, counted from 0
   */
  public record Position(int offset) {}

  /** Returns the chunk of one token. */
  static CompletionChunk token(String id, String model, int offset, String text) {
    return of(id, model, text, Optional.empty(), Optional.of(new Position(offset)));
  }

  /** Returns the chunk that ends an answer. */
  static CompletionChunk finish(String id, String model, String finishReason) {
    return of(id, model, "", Optional.of(finishReason), Optional.empty());
  }

  /** Returns the document of a whole answer. */
  static CompletionChunk fullAnswer(String id, String model, String text, String finishReason) {
    return of(id, model, text, Optional.of(finishReason), Optional.empty());
  }

  private static CompletionChunk of(
      String id,
      String model,
      String text,
      Optional<String> finishReason,
      Optional<Position> position) {
    Choice choice = new Choice(0, text, finishReason);
    return new CompletionChunk(id, OBJECT, model, List.of(choice), position);
  }
}
