package org.galenapost.daemon.gateway.call;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the gateway says to a server about one send.
 *
 * @param instanceId the id of the server that must run it; any other one refuses
 * @param remainingMs how long the answer is waited for, in milliseconds
 * @param workspace the workspace of the caller's key, if calls need keys
 * @param resumeAfter the number of the last event that the caller has, to continue a stream
 * @param copyTarget the address of the server that shall keep a copy of the run's memory
 * @param copySource the address of the server that keeps a copy of the earlier run's memory, from
 *     which this one continues
 * @param urgency the engine's rank of the call, from 0, the most urgent, to 9
 */
public record SendOptions(
    String instanceId,
    long remainingMs,
    Optional<String> workspace,
    OptionalLong resumeAfter,
    Optional<String> copyTarget,
    Optional<String> copySource,
    int urgency) {

  /** Checks that every part is present. */
  public SendOptions {
    Objects.requireNonNull(instanceId, "instanceId");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(resumeAfter, "resumeAfter");
    Objects.requireNonNull(copyTarget, "copyTarget");
    Objects.requireNonNull(copySource, "copySource");
  }
}
