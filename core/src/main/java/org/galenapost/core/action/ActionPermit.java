package org.galenapost.core.action;

/**
 * The permit to send one claimed request once. The holder calls {@link #trySend()} right before the
 * first byte; if it returns true, exactly one of {@link #recordAnswer(ActionAnswer)} and {@link
 * #recordOutcomeUnknown()} follows. A holder that decides not to send calls {@link #release()}
 * instead.
 */
public interface ActionPermit {

  /** Returns the unique id of this attempt, which is forwarded to the backend server. */
  String attemptId();

  /**
   * Returns whether the first byte may be sent now. If true, the request is never sent again and
   * the claim can no longer be released. If false, for example after this process was paused, the
   * request must not be sent; the claim is released and the request has not run.
   */
  boolean trySend();

  /**
   * Records the response of the backend server.
   *
   * @param answer the response, stored for callers that repeat the request
   */
  void recordAnswer(ActionAnswer answer);

  /** Records that the request was sent and no response arrived. */
  void recordOutcomeUnknown();

  /** Releases the claim of a request that was certainly not sent. */
  void release();
}
