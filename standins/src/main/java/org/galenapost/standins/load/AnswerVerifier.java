package org.galenapost.standins.load;

import org.galenapost.standins.engine.EngineText;

/** Compares a streamed answer, token by token, with the text that it must be. */
final class AnswerVerifier {

  private final EngineText text;
  private final int maxTokens;
  private EngineText.Cursor cursor;
  private int nextOffset;
  private long mismatches;
  private long duplicates;

  AnswerVerifier(EngineText text, int maxTokens) {
    this.text = text;
    this.maxTokens = maxTokens;
    this.cursor = text.cursor();
  }

  /** Takes a token and returns whether it is the right one at the right place. */
  boolean accept(int offset, String token) {
    if (offset < nextOffset) {
      duplicates++;
      return false;
    }
    if (offset > nextOffset) {
      mismatches++;
      return false;
    }
    nextOffset++;
    boolean isRight = cursor.next().equals(token);
    mismatches += isRight ? 0 : 1;
    return isRight;
  }

  /** Takes the reason of the end and returns whether the whole answer is right. */
  boolean finish(String reason) {
    boolean isRight =
        nextOffset == text.length(maxTokens) && text.finishReason(maxTokens).equals(reason);
    mismatches += isRight ? 0 : 1;
    return mismatches == 0 && duplicates == 0;
  }

  /** Begins again at offset 0, as the server announced. */
  void restart() {
    cursor = text.cursor();
    nextOffset = 0;
  }

  long mismatches() {
    return mismatches;
  }

  long duplicates() {
    return duplicates;
  }
}
