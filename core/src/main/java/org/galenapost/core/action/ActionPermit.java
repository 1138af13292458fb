package org.galenapost.core.action;

/**
 * The right to send one claimed request once. The holder calls {@link #trySend()} right before the
 * first byte; if it returns true, exactly one of {@link #recordAnswer(ActionAnswer)} and {@link
 * #recordOutcomeUnknown()} follows. A holder that decides not to send calls {@link #release()}
 * instead of {@link #trySend()}.
 */
public interface ActionPermit {

  /** Returns the unique id of this attempt, passed on to the backend server. */
  String attemptId();

  /**
   * Asks whether the first byte may leave now. After true the request is never sent again, and it
   * can no longer be released. After false, as after a pause of this process, the request must not
   * be sent; the claim is released and the request was not run.
   */
  boolean trySend();

  /**
   * Records that the backend server answered.
   *
   * @param answer the answer, kept for callers that send the action again
   */
  void recordAnswer(ActionAnswer answer);

  /** Records that the request was sent and no answer came. */
  void recordOutcomeUnknown();

  /** Gives back a claim whose request certainly never left. */
  void release();
}
