package org.galenapost.core.prompt;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.galenapost.core.hashing.Rendezvous;

/**
 * A part of a prompt. Two parts with the same id are taken for the same text.
 *
 * @param idHash the 64-bit hash of the part's id
 * @param tokens the number of tokens
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PromptPart(long idHash, long tokens) {

  /**
   * Checks the number of tokens.
   *
   * @throws IllegalArgumentException if it is negative
   */
  public PromptPart {
    if (tokens < 0) {
      throw new IllegalArgumentException("a part of " + tokens + " tokens");
    }
  }

  /**
   * Returns the part that a text names, the id and the number of tokens with a colon between.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static PromptPart parse(String text) {
    int colon = text.indexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("expected ID:TOKENS, but found '" + text + "'");
    }
    return new PromptPart(
        Rendezvous.hash(text.substring(0, colon)), Long.parseLong(text.substring(colon + 1)));
  }
}
