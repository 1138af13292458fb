package org.galenapost.core.generation;

import java.time.Instant;
import java.util.Objects;

/**
 * The state with which a reader can resume an answer on any daemon.
 *
 * @param generationId the generation; it differs from that of the attempt if a repeated run
 *     produced a different text and became a new generation
 * @param attempt the attempt that produced the last token
 * @param serverId the backend server of the attempt
 * @param modelVersion the model version
 * @param seed the seed of the sampler
 * @param deliveredTokens the number of tokens that the reader has received
 * @param hash the hash of the text that the reader has received
 * @param digest the digest of the request
 * @param issuedAt the time of issue, with a resolution of one second
 */
public record ResumeHandle(
    String generationId,
    AttemptId attempt,
    String serverId,
    String modelVersion,
    long seed,
    int deliveredTokens,
    RollingHash hash,
    RequestDigest digest,
    Instant issuedAt) {

  /** Checks that every part is present. */
  public ResumeHandle {
    Objects.requireNonNull(generationId, "generationId");
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(serverId, "serverId");
    Objects.requireNonNull(modelVersion, "modelVersion");
    Objects.requireNonNull(hash, "hash");
    Objects.requireNonNull(digest, "digest");
    Objects.requireNonNull(issuedAt, "issuedAt");
  }
}
