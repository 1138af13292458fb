package org.galenapost.core.verdict;

/** Whether a request may have run on a backend server. */
public enum Verdict {
  /** The request certainly did not run; the caller may retry it. */
  NOT_RUN("not-run"),
  /** The request may have run; a non-idempotent request must not be retried unchecked. */
  MAY_HAVE_RUN("may-have-run"),
  /** The request ran. */
  RAN("ran");

  private final String wireName;

  Verdict(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in responses and logs, such as {@code not-run}. */
  public String wireName() {
    return wireName;
  }
}
