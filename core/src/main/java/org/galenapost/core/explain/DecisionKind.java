package org.galenapost.core.explain;

import java.util.Locale;

/** The kind of a decision made for a request. */
public enum DecisionKind {
  ADMITTED,
  QUEUED,
  CLAIMED,
  ROUTED,
  ATTEMPT_STARTED,
  ATTEMPT_SILENT,
  ATTEMPT_LOST,
  ATTEMPT_FENCED,
  HEDGED,
  RESUMED,
  ATTACHED,
  RETRIED,
  NEW_GENERATION,
  READER_SLOW,
  READER_GONE,
  REFUSED,
  FINISHED;

  /** Returns the name used in responses and logs, such as {@code attempt-lost}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
