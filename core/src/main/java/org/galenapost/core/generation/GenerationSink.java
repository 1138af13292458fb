package org.galenapost.core.generation;

import org.galenapost.core.explain.Decision;
import org.galenapost.core.verdict.Refusal;

/** Receives the answer of one generation. Implemented by the caller's connection. */
public interface GenerationSink {

  /**
   * Called with the id of the generation that a resume handle identifies, before the first token.
   *
   * @param generationId the id of the generation
   */
  default void onResumed(String generationId) {}

  /**
   * Called with the next token.
   *
   * @param offset the zero-based token position in the answer
   * @param text the text of the token
   * @param resumeHandle the handle with which the reader can resume after this token
   */
  void onToken(int offset, String text, String resumeHandle);

  /**
   * Called when a new generation replaces the delivered text from offset 0.
   *
   * @param generationId the id of the new generation
   */
  void onNewGeneration(String generationId);

  /**
   * Called when the answer is complete.
   *
   * @param finishReason {@code stop} or {@code length}
   */
  void onFinish(String finishReason);

  /** Called when the generation cannot continue. */
  void onRefusal(Refusal refusal);

  /**
   * Called with a decision about the generation, for the trace of the request.
   *
   * @param decision the decision and its reason
   */
  default void onDecision(Decision decision) {}

  /**
   * Returns whether the reader's connection is writable. While it is not, reading from the engine
   * is paused.
   */
  boolean isWritable();
}
