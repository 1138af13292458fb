package org.galenapost.core.verdict;

/** The reason for which a request is refused or fails. Each reason has its own counter. */
public enum RefusalReason {
  BAD_REQUEST("bad-request", 400),
  UNAUTHENTICATED("unauthenticated", 401),
  FORBIDDEN("forbidden", 403),
  NOT_FOUND("not-found", 404),
  BODY_TOO_LARGE("body-too-large", 413),
  HEADER_TOO_LARGE("header-too-large", 431),
  UNKNOWN_PROFILE("unknown-profile", 404),
  UNKNOWN_MODEL("unknown-model", 404),
  UNKNOWN_SERVICE("unknown-service", 404),
  IDEMPOTENCY_KEY_MISSING("idempotency-key-missing", 400),
  IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422),
  IDEMPOTENCY_KEY_EXPIRED("idempotency-key-expired", 409),
  ACTION_IN_PROGRESS("action-in-progress", 409),
  ACTION_OUTCOME_UNKNOWN("action-outcome-unknown", 409),
  ACTION_TOO_LATE("action-too-late", 503),
  ACTION_ALREADY_RAN("action-already-ran", 409),
  RESUME_HANDLE_INVALID("resume-handle-invalid", 400),
  RESUME_HANDLE_EXPIRED("resume-handle-expired", 410),
  NEW_GENERATION_REFUSED("new-generation-refused", 409),
  QUARANTINED("quarantined", 422),
  CRASHES_SERVERS("crashes-servers", 503),
  WORKSPACE_LIMIT("workspace-limit", 429),
  QUEUE_FULL("queue-full", 429),
  HEAD_MEMORY_FULL("head-memory-full", 503),
  BODY_MEMORY_FULL("body-memory-full", 503),
  DEADLINE_UNREACHABLE("deadline-unreachable", 503),
  NO_SERVER("no-server", 503),
  STREAM_VERSION_UNAVAILABLE("stream-version-unavailable", 503),
  RETRY_BUDGET_SPENT("retry-budget-spent", 503),
  ATTEMPTS_EXHAUSTED("attempts-exhausted", 502),
  PLATFORM_UNAVAILABLE("platform-unavailable", 503),
  CLAIM_BUCKET_FULL("claim-bucket-full", 503),
  SHUTTING_DOWN("shutting-down", 503),
  NOT_READY("not-ready", 503),
  SERVER_LOST("server-lost", 502),
  SERVER_FAILED("server-failed", 502),
  DEADLINE_EXCEEDED("deadline-exceeded", 504),
  CALLER_TOO_SLOW("caller-too-slow", 408),
  INTERNAL_ERROR("internal-error", 500);

  private final String wireName;
  private final int httpStatus;

  RefusalReason(String wireName, int httpStatus) {
    this.wireName = wireName;
    this.httpStatus = httpStatus;
  }

  /** Returns the name used in responses, logs and metrics, such as {@code queue-full}. */
  public String wireName() {
    return wireName;
  }

  /** Returns the HTTP status code sent to the caller. */
  public int httpStatus() {
    return httpStatus;
  }
}
