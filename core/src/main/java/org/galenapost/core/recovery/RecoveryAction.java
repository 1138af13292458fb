package org.galenapost.core.recovery;

import org.galenapost.core.verdict.RefusalReason;

/** The action that a generation takes after an attempt falls silent or is lost. */
public sealed interface RecoveryAction {

  /** Keeps waiting for the live attempts. */
  record KeepWaiting() implements RecoveryAction {}

  /**
   * Starts an attempt on another server.
   *
   * @param cause the cause, for metrics and traces
   */
  record StartElsewhere(StartCause cause) implements RecoveryAction {}

  /** Fails the generation with the given reason. */
  record Fail(RefusalReason reason) implements RecoveryAction {}
}
