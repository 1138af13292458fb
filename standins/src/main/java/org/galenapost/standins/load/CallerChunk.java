package org.galenapost.standins.load;

import java.util.List;

/**
 * One chunk of a streamed completion.
 *
 * @param choices a list with exactly one choice
 * @param galenapost the extension fields, or null in the last chunk
 */
record CallerChunk(List<Choice> choices, Extension galenapost) {

  /**
   * The generated token or the end of the answer.
   *
   * @param text the text of the token
   * @param finishReason the finish reason, or null before the last chunk
   */
  record Choice(String text, String finishReason) {}

  /**
   * The extension fields added to the completion format.
   *
   * @param offset the index of the token in the answer, from 0
   */
  record Extension(int offset) {}
}
