package org.galenapost.core.route;

/** How often a call may run. */
public enum CallKind {
  /** The call may run any number of times. */
  IDEMPOTENT,
  /** The call may run at most once. */
  AT_MOST_ONCE,
  /**
   * The answer is a stream of numbered events. The call may be retried only if its route is
   * resumable.
   */
  STREAM
}
