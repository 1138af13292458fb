package org.galenapost.daemon.gateway.run;

import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/** The refusals of calls whose sends failed. */
final class CallRefusals {

  private CallRefusals() {}

  /** Refuses a call that the servers refused. */
  static Refusal noRoom() {
    return Refusal.notRun(RefusalReason.QUEUE_FULL, "the servers of the service take no more");
  }

  /** Refuses a call that a server refused without proof that it did not run it. */
  static Refusal failedServer(int status) {
    return Refusal.mayHaveRun(
        RefusalReason.SERVER_FAILED,
        "the server answered " + status + " and may have run the call");
  }

  /** Refuses a call whose run was lost with another daemon. */
  static Refusal lostHandover() {
    return Refusal.mayHaveRun(RefusalReason.SERVER_LOST, "the daemon that ran the call was lost");
  }
}
