package org.galenapost.daemon.relay;

import org.galenapost.core.retry.RetryReason;
import org.galenapost.core.verdict.Verdict;
import org.galenapost.daemon.caller.ServiceAnswer;

/** The outcome of one attempt at a call of a plain service. */
sealed interface ServiceOutcome {

  /** The service answered. */
  record Answered(ServiceAnswer answer) implements ServiceOutcome {}

  /**
   * The attempt failed without a complete answer.
   *
   * @param verdict whether the request may have run
   * @param reason the kind of failure
   * @param detail a description of the failure
   */
  record Failed(Verdict verdict, RetryReason reason, String detail) implements ServiceOutcome {}

  /** The attempt was not sent because its claim had expired. */
  record NotSent() implements ServiceOutcome {}
}
