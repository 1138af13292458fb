package org.galenapost.daemon.gateway.call;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Options of one send that the gateway passes to the server.
 *
 * @param instanceId the id of the server that must run the call; any other server rejects it
 * @param remainingMs the time left until the deadline of the call, in milliseconds
 * @param workspace the workspace of the caller's key, if the gateway requires keys
 * @param resumeAfter the number of the last event that the caller received, to resume a stream
 * @param copyTarget the address of the server that receives a replica of the run's KV cache
 * @param copySource the address of the server that holds a replica of the earlier run's KV cache,
 *     from which this run resumes
 * @param urgency the priority of the call at the engine, from 0 (most urgent) to 9
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
