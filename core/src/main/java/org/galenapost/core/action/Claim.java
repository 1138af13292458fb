package org.galenapost.core.action;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * The claim of one action, as it stands in the platform's object API.
 *
 * @param workspace the workspace that asked
 * @param key the caller's idempotency key
 * @param bodyDigest the digest of what was asked
 * @param service the plain service
 * @param attemptId the attempt that holds the claim
 * @param daemonId the daemon that holds the claim
 * @param claimedAt when the holder claimed it, by the holder's clock
 * @param state what is known about it
 * @param answer the backend server's answer, if it is known
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

  private static final int FIXED_BYTES = 400;
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

  /** Returns an upper estimate of the bytes that it takes as JSON. */
  int estimatedBytes() {
    int bodyChars = answer.flatMap(ActionAnswer::body).map(String::length).orElse(0);
    return FIXED_BYTES + MAX_BYTES_PER_CHAR * key.length() + 2 * bodyChars;
  }
}
