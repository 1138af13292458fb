package org.galenapost.core.prompt;

import com.fasterxml.jackson.annotation.JsonFormat;

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
}
