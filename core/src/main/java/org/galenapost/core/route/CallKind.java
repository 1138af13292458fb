package org.galenapost.core.route;

/** Says what may be repeated of a call. */
public enum CallKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** May run at most once. */
  AT_MOST_ONCE,
  /** Answers with a stream of numbered events; may be repeated only where it can be resumed. */
  STREAM
}
