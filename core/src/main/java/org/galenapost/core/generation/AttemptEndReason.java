package org.galenapost.core.generation;

/** Says why a stream of an engine was ended by the reading side. */
public enum AttemptEndReason {
  /** An offset was skipped. */
  GAP("gap"),
  /** The answer ended at another offset than the tokens did. */
  SHORT_FINISH("short-finish"),
  /** The model or its version is not the pinned one. */
  VERSION_CHANGED("version-changed");

  private final String wireName;

  AttemptEndReason(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in counters and traces. */
  public String wireName() {
    return wireName;
  }
}
