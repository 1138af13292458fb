package org.galenapost.core.action;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.time.Instant;
import java.util.Objects;

/** A change to one claim, requested by a daemon or an operator. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "operation")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ClaimOperation.Acquire.class, name = "acquire"),
  @JsonSubTypes.Type(value = ClaimOperation.RecordAnswer.class, name = "record-answer"),
  @JsonSubTypes.Type(value = ClaimOperation.RecordUnknown.class, name = "record-unknown"),
  @JsonSubTypes.Type(value = ClaimOperation.Release.class, name = "release"),
  @JsonSubTypes.Type(value = ClaimOperation.SettleRan.class, name = "settle-ran"),
  @JsonSubTypes.Type(value = ClaimOperation.SettleNotRun.class, name = "settle-not-run")
})
public sealed interface ClaimOperation {

  /** Returns the workspace of the action. */
  String workspace();

  /** Returns the idempotency key of the action. */
  String key();

  /**
   * Claims an action for an attempt.
   *
   * @param workspace the workspace of the caller
   * @param key the caller's idempotency key
   * @param bodyDigest the SHA-256 digest of method, path and body
   * @param service the name of the plain service
   * @param attemptId the unique id of the attempt
   * @param daemonId the daemon that sends the request
   * @param claimedAt the time of the claim, by the clock of the daemon
   */
  record Acquire(
      String workspace,
      String key,
      String bodyDigest,
      String service,
      String attemptId,
      String daemonId,
      Instant claimedAt)
      implements ClaimOperation {
    /** Checks that every part is present. */
    public Acquire {
      Objects.requireNonNull(workspace, "workspace");
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(bodyDigest, "bodyDigest");
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(attemptId, "attemptId");
      Objects.requireNonNull(daemonId, "daemonId");
      Objects.requireNonNull(claimedAt, "claimedAt");
    }
  }

  /** Records the response to an attempt. */
  record RecordAnswer(String workspace, String key, String attemptId, ActionAnswer answer)
      implements ClaimOperation {}

  /** Records that an attempt was sent and got no response. */
  record RecordUnknown(String workspace, String key, String attemptId) implements ClaimOperation {}

  /** Releases the claim of an attempt that was not sent. */
  record Release(String workspace, String key, String attemptId) implements ClaimOperation {}

  /** Records an operator's finding that an open action ran. */
  record SettleRan(String workspace, String key) implements ClaimOperation {}

  /**
   * Records an operator's finding that an open action did not run, so that it may be sent again.
   */
  record SettleNotRun(String workspace, String key) implements ClaimOperation {}
}
