package org.galenapost.standins.load;

import org.galenapost.standins.engine.EngineText;

/** Compares a streamed answer, token by token, with the expected text. Not thread-safe. */
final class AnswerVerifier {

  private final EngineText expected;
  private final int maxTokens;
  private EngineText.Cursor cursor;
  private int nextOffset;
  private long mismatches;
  private long duplicates;

  AnswerVerifier(EngineText expected, int maxTokens) {
    this.expected = expected;
    this.maxTokens = maxTokens;
    this.cursor = expected.cursor();
  }

  /** Returns whether the token is the expected one at the expected offset. */
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
    boolean isCorrect = cursor.next().equals(token);
    mismatches += isCorrect ? 0 : 1;
    return isCorrect;
  }

  /** Checks the finish reason and returns whether the complete answer is correct. */
  boolean finish(String reason) {
    boolean isCorrect =
        nextOffset == expected.length(maxTokens) && expected.finishReason(maxTokens).equals(reason);
    mismatches += isCorrect ? 0 : 1;
    return mismatches == 0 && duplicates == 0;
  }

  /** Restarts at offset 0 after the server announced a new generation. */
  void restart() {
    cursor = expected.cursor();
    nextOffset = 0;
  }

  long mismatches() {
    return mismatches;
  }

  long duplicates() {
    return duplicates;
  }
}
