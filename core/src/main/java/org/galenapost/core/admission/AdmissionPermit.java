package org.galenapost.core.admission;

import java.time.Duration;

/** Allows one request to run. The holder calls {@link #finished} or {@link #abandoned} once. */
public interface AdmissionPermit {

  /** Returns how long the request waited for this permit. */
  Duration waited();

  /** Records the time from admission to the first answer. */
  void recordFirstAnswer(Duration latency);

  /**
   * Ends the request after a complete answer.
   *
   * @param tokens the tokens that it used
   */
  void finished(int tokens);

  /**
   * Ends the request without a complete answer.
   *
   * @param tokens the tokens that it used before it ended
   */
  void abandoned(int tokens);
}
