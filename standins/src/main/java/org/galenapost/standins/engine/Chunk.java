package org.galenapost.standins.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * The data of one event of a completion stream.
 *
 * @param id the attempt's id
 * @param model the model's name
 * @param version the model's version
 * @param choices a list of exactly one choice
 * @param offset the token's index in the answer, accepted tokens included
 */
record Chunk(String id, String model, String version, List<Choice> choices, int offset) {

  /**
   * The only choice of a chunk.
   *
   * @param index always 0
   * @param text the token, or empty in the last chunk
   * @param finishReason {@code stop} or {@code length} in the last chunk, otherwise null
   */
  @JsonInclude(JsonInclude.Include.ALWAYS)
  record Choice(int index, String text, String finishReason) {}

  static Chunk token(Generation generation, int offset) {
    return of(generation, new Choice(0, generation.token(offset), null), offset);
  }

  static Chunk finish(Generation generation) {
    Choice choice = new Choice(0, "", generation.finishReason().orElseThrow());
    return of(generation, choice, generation.length());
  }

  private static Chunk of(Generation generation, Choice choice, int offset) {
    return new Chunk(
        generation.id(), generation.model(), generation.version(), List.of(choice), offset);
  }
}
