package org.galenapost.daemon.relay;

import org.galenapost.core.retry.RetryReason;
import org.galenapost.core.verdict.Verdict;
import org.galenapost.daemon.caller.ServiceAnswer;

/** How one attempt at a call of a plain service ended. */
sealed interface ServiceOutcome {

  /** The service answered. */
  record Answered(ServiceAnswer answer) implements ServiceOutcome {}

  /**
   * No answer can be passed on.
   *
   * @param verdict whether the request may have run
   * @param reason what made it fail
   * @param detail what was seen
   */
  record Failed(Verdict verdict, RetryReason reason, String detail) implements ServiceOutcome {}

  /** The attempt was not sent, because it was not allowed to any more. */
  record NotSent() implements ServiceOutcome {}
}
