package org.galenapost.core.action;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * The claim of one action, as stored in the platform's object API.
 *
 * @param workspace the workspace of the caller
 * @param key the caller's idempotency key
 * @param bodyDigest the SHA-256 digest of method, path and body
 * @param service the name of the plain service
 * @param attemptId the attempt that holds the claim
 * @param daemonId the daemon that holds the claim
 * @param claimedAt the time of the claim, by the holder's clock
 * @param state the state of the action
 * @param answer the backend server's response, if recorded
 */
public record Claim(
    String workspace,
    String key,
    String bodyDigest,
    String service,
    String attemptId,
    String daemonId,
    Instant claimedAt,
    ClaimState state,
    Optional<ActionAnswer> answer) {

  private static final int BASE_BYTES = 400;
  private static final int MAX_BYTES_PER_CHAR = 6;

  /** Checks that every part is present. */
  public Claim {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(attemptId, "attemptId");
    Objects.requireNonNull(daemonId, "daemonId");
    Objects.requireNonNull(claimedAt, "claimedAt");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(answer, "answer");
  }

  boolean matches(String otherWorkspace, String otherKey) {
    return workspace.equals(otherWorkspace) && key.equals(otherKey);
  }

  Claim withState(ClaimState newState, Optional<ActionAnswer> newAnswer) {
    return new Claim(
        workspace, key, bodyDigest, service, attemptId, daemonId, claimedAt, newState, newAnswer);
  }

  /** Returns an upper estimate of the size as JSON, in bytes. */
  int estimatedBytes() {
    int bodyChars = answer.flatMap(ActionAnswer::body).map(String::length).orElse(0);
    return BASE_BYTES + MAX_BYTES_PER_CHAR * key.length() + 2 * bodyChars;
  }
}
