package org.galenapost.core.rollout;

/** How a send to a server ended, as far as it says something about the server's version. */
public enum AnswerOutcome {
  /** A complete answer, or an end by the caller after events. */
  ANSWERED,
  /** A server error or an answer of the wrong shape. */
  FAILED,
  /** No complete answer because the connection or the server was lost. */
  LOST
}
