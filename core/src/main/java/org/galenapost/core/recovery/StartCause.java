package org.galenapost.core.recovery;

/** The cause for which an attempt is started. */
public enum StartCause {
  /** First attempt of a generation. */
  FIRST("first"),
  /** A live attempt is silent beyond its bound and may still recover. */
  HEDGE("hedge"),
  /** The previous attempt is lost. */
  MOVE("move"),
  /** The engine no longer holds the generation; the whole text is generated again. */
  RERUN("rerun");

  private final String wireName;

  StartCause(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in metrics and traces. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether the attempt resumes an earlier attempt. */
  public boolean isResume() {
    return this != FIRST;
  }
}
