package org.galenapost.daemon.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import java.util.Optional;

/**
 * The head of a server's answer.
 *
 * @param status the HTTP status
 * @param headers all headers, as they are passed on
 * @param callId the id of the call that it answers, if it names one
 * @param isSigned whether it carries the server's seal
 * @param isNotRun whether the server says that it did not run the call
 * @param isMisdirected whether another server than the expected one answered
 * @param isStream whether its body is a stream of events
 */
public record ResponseHead(
    int status,
    HttpHeaders headers,
    Optional<String> callId,
    boolean isSigned,
    boolean isNotRun,
    boolean isMisdirected,
    boolean isStream) {

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Checks that every part is present. */
  public ResponseHead {
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(callId, "callId");
  }

  /** Returns whether the status is a success. */
  public boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }

  /** Returns whether the status says that the server failed. */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }
}
