package org.galenapost.core.generation;

/** The reason for which this daemon ends the stream of an engine. */
public enum AttemptEndReason {
  /** An offset was skipped. */
  GAP("gap"),
  /** The engine finished the answer at a lower offset than the tokens already accepted. */
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
