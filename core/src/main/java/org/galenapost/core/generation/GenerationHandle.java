package org.galenapost.core.generation;

/**
 * Controls a reader's subscription to a generation. Both methods may be called from any thread and
 * more than once.
 */
public interface GenerationHandle {

  /**
   * Cancels the subscription after the reader has disconnected. The sink is not called any more.
   */
  void cancel();

  /** Resumes delivery after the reader's connection has become writable again. */
  void onWritable();
}
