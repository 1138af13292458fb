package org.galenapost.core.generation;

import java.util.Objects;

/** One event of an engine's stream. */
public sealed interface EngineEvent {

  /** Returns the attempt that the event belongs to. */
  AttemptId attempt();

  /** Returns the zero-based token position in the answer. */
  int offset();

  /** Returns the model that produced the event. */
  String model();

  /** Returns the model version that produced the event. */
  String version();

  /**
   * A token.
   *
   * @param text the text of the token
   */
  record Token(AttemptId attempt, int offset, String model, String version, String text)
      implements EngineEvent {

    /** Checks that every part is present. */
    public Token {
      Objects.requireNonNull(attempt, "attempt");
      Objects.requireNonNull(model, "model");
      Objects.requireNonNull(version, "version");
      Objects.requireNonNull(text, "text");
    }
  }

  /**
   * The end of the answer; its offset is the number of tokens of the whole answer.
   *
   * @param reason {@code stop} or {@code length}
   */
  record Finish(AttemptId attempt, int offset, String model, String version, String reason)
      implements EngineEvent {

    /** Checks that every part is present. */
    public Finish {
      Objects.requireNonNull(attempt, "attempt");
      Objects.requireNonNull(model, "model");
      Objects.requireNonNull(version, "version");
      Objects.requireNonNull(reason, "reason");
    }
  }
}
