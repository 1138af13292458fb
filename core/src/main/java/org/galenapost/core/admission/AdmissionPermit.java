package org.galenapost.core.admission;

import java.time.Duration;

/** Allows one request to run; exactly one of the ending methods is called, once. */
public interface AdmissionPermit {

  /** Returns how long the request waited for this permit. */
  Duration waited();

  /** Reports the time from admission to the first answer. */
  void recordFirstAnswer(Duration latency);

  /**
   * Ends the request after a full answer.
   *
   * @param tokens the tokens that it took
   */
  void finished(int tokens);

  /**
   * Ends the request without a full answer.
   *
   * @param tokens the tokens that it took all the same
   */
  void abandoned(int tokens);
}
