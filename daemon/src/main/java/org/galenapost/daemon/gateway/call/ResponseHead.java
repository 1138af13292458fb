package org.galenapost.daemon.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.dispatch.RateStatement;

/**
 * The head of a server's response.
 *
 * @param status the HTTP status
 * @param headers all headers as received
 * @param callId the id of the call that the response belongs to, if it names one
 * @param isSigned whether the response carries the server's signature, the seal
 * @param isNotRun whether the server states that it did not run the call
 * @param isMisdirected whether a server other than the expected one responded
 * @param isLeaving whether the server states that it is about to leave
 * @param retryAfter how long the server wants no further calls from this daemon, if it says so
 * @param rate what the server states about the rate of requests that it takes
 * @param refusalRate what the server states about the refusals in a second that it bears
 * @param isStream whether the body is an event stream
 * @param mergeSign what the head states although only parts of two heads can state it, if anything
 */
public record ResponseHead(
    int status,
    HttpHeaders headers,
    Optional<String> callId,
    boolean isSigned,
    boolean isNotRun,
    boolean isMisdirected,
    boolean isLeaving,
    Optional<Duration> retryAfter,
    RateStatement rate,
    RateStatement refusalRate,
    boolean isStream,
    Optional<String> mergeSign) {

  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** Checks that every part is present. */
  public ResponseHead {
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(callId, "callId");
    Objects.requireNonNull(retryAfter, "retryAfter");
    Objects.requireNonNull(rate, "rate");
    Objects.requireNonNull(refusalRate, "refusalRate");
    Objects.requireNonNull(mergeSign, "mergeSign");
  }

  /** Returns whether the status is a success (2xx). */
  public boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }

  /** Returns the pause that the server asks for in a refusal, if it asks for one. */
  public Optional<Duration> requestedPause() {
    return status == SERVICE_UNAVAILABLE_STATUS ? retryAfter : Optional.empty();
  }

  /**
   * Returns whether the status promises a caller that its call has not run and never will. A server
   * proves that by other means, so its own failure may have the same status.
   */
  public boolean promisesNotRun() {
    return NOT_RUN_STATUSES.contains(status);
  }

  /** Returns whether the status is a failure with which another server may do better. */
  public boolean isServerFailure() {
    return isServerError() || promisesNotRun();
  }

  /** Returns whether the status is a server error (500 or above). */
  public boolean isServerError() {
    return status >= MIN_SERVER_ERROR_STATUS;
  }
}
