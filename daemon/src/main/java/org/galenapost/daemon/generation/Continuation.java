package org.galenapost.daemon.generation;

/** The position from which a generation resumes after a loss. */
public enum Continuation {
  /** After the tokens accepted so far. */
  FROM_ACCEPTED,
  /** From the first token. Text that was already delivered is compared and not sent again. */
  FROM_START
}
