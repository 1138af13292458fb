package org.galenapost.daemon.gateway.run;

import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.instance.ServerInstance;

/**
 * The servers that take part in one send.
 *
 * @param instance the server that runs the call
 * @param copyTarget the server that receives a copy of the run's memory
 * @param copySource the server that holds a copy of the lost run's memory
 * @param isIsolated whether the call is suspected to crash servers and runs apart from other
 *     suspects
 * @param isHandover whether the receiver is a daemon, which sends the call to a server
 * @param expectedWaitMs the expected wait at the chosen server, in milliseconds
 * @param savedTokens the prompt tokens that the server is expected not to read, as it holds them
 * @param isDueToHeldPrompt whether another server would be chosen if none held any prompt
 */
record SendPlan(
    ServerInstance instance,
    Optional<ServerInstance> copyTarget,
    Optional<ServerInstance> copySource,
    boolean isIsolated,
    boolean isHandover,
    double expectedWaitMs,
    long savedTokens,
    boolean isDueToHeldPrompt) {

  SendPlan {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(copyTarget, "copyTarget");
    Objects.requireNonNull(copySource, "copySource");
  }

  /** Returns the send that hands a call over to another daemon. */
  static SendPlan handoverTo(ServerInstance daemon) {
    return new SendPlan(daemon, Optional.empty(), Optional.empty(), false, true, 0, 0, false);
  }
}
