package org.galenapost.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.verdict.Refusal;

/**
 * A refusal in the form of {@code application/problem+json}.
 *
 * @param type the kind of problem, as a URN
 * @param title the reason
 * @param status the HTTP status
 * @param detail an explanation for the caller in one sentence
 * @param verdict whether the request may have been executed
 * @param reason the reason, as in the metrics
 * @param retryAfterMs the time in milliseconds after which a retry may succeed, if any
 * @param requestId the id of the request, with which an operator can look up an explanation
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record ProblemDocument(
    String type,
    String title,
    int status,
    String detail,
    String verdict,
    String reason,
    Optional<Long> retryAfterMs,
    String requestId) {

  /** The content type of the document. */
  public static final String CONTENT_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:galenapost:";

  /** Returns the problem document of a refusal. */
  public static ProblemDocument of(Refusal refusal, String requestId) {
    String reason = refusal.reason().wireName();
    return new ProblemDocument(
        TYPE_PREFIX + reason,
        reason,
        refusal.reason().httpStatus(),
        refusal.detail(),
        refusal.verdict().wireName(),
        reason,
        refusal.retryAfter().map(Duration::toMillis),
        requestId);
  }
}
