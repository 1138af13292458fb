package org.galenapost.core.recovery;

import org.galenapost.core.verdict.RefusalReason;

/** What a generation does about a suspicious or lost attempt. */
public sealed interface RecoveryAction {

  /** Goes on waiting for the live attempts. */
  record KeepWaiting() implements RecoveryAction {}

  /**
   * Starts an attempt on another server.
   *
   * @param cause why, for counters and traces
   */
  record StartElsewhere(StartCause cause) implements RecoveryAction {}

  /** Ends the generation without an answer. */
  record Fail(RefusalReason reason) implements RecoveryAction {}
}
