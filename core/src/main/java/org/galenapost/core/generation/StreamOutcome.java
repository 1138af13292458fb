package org.galenapost.core.generation;

import java.util.List;
import java.util.Optional;

/** What became of one chunk of an engine's stream. */
public sealed interface StreamOutcome {

  /**
   * The token is the next one and goes to the reader.
   *
   * @param offset the position in the answer
   * @param text the text of the token
   * @param hash the hash of the whole text up to and including this token
   * @param losers the attempts that lost to this one and must be cancelled
   */
  record Accepted(int offset, String text, RollingHash hash, List<AttemptId> losers)
      implements StreamOutcome {}

  /**
   * The token repeats text that the reader already has; it is kept but not delivered again.
   *
   * @param losers the attempts that lost to this one and must be cancelled
   */
  record Withheld(int offset, List<AttemptId> losers) implements StreamOutcome {}

  /**
   * The repeated run differs from the text that the reader has; nothing of it may follow that text.
   *
   * @param tokens the tokens of the repeated run so far, from offset 0
   * @param finishReason the finish reason, if the repeated run has ended
   * @param losers the attempts that lost to this one and must be cancelled
   */
  record Diverged(List<String> tokens, Optional<String> finishReason, List<AttemptId> losers)
      implements StreamOutcome {}

  /** The offset was seen before; the chunk is dropped. */
  record Dropped(int offset) implements StreamOutcome {}

  /** The attempt is not, or no longer, entitled to add to the answer; the chunk is dropped. */
  record Fenced(AttemptId attempt) implements StreamOutcome {}

  /** The chunk cannot belong to this answer; its attempt is over and must be cancelled. */
  record AttemptEnded(AttemptId attempt, AttemptEndReason reason) implements StreamOutcome {}

  /**
   * The answer is complete.
   *
   * @param reason {@code stop} or {@code length}
   * @param losers the attempts that lost to this one and must be cancelled
   */
  record Finished(String reason, List<AttemptId> losers) implements StreamOutcome {}
}
