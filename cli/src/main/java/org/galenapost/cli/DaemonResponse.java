package org.galenapost.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response of a daemon's operator port.
 *
 * @param httpStatus the HTTP status code
 * @param document the JSON body; an empty object if the body is not JSON
 */
public record DaemonResponse(int httpStatus, JsonNode document) {

  private static final String MAY_HAVE_RUN = "may-have-run";
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  /** Returns whether the status reports success. */
  public boolean isSuccess() {
    return httpStatus < FIRST_NON_SUCCESS_STATUS;
  }

  /** Returns whether the change conflicts with an earlier one. */
  public boolean isConflict() {
    return httpStatus == CONFLICT;
  }

  /** Returns whether the requested resource does not exist. */
  public boolean isNotFound() {
    return httpStatus == NOT_FOUND;
  }

  /** Returns the exit code for a refusal, which depends on whether the request may have run. */
  public ExitCode exitCode() {
    boolean mayHaveRun = document.path("verdict").asText().equals(MAY_HAVE_RUN);
    return mayHaveRun ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED;
  }

  /** Returns the refusal as one line: the title, and the detail if there is one. */
  public String describe() {
    String title = document.path("title").asText("http-" + httpStatus);
    String detail = document.path("detail").asText("");
    return detail.isEmpty() ? title : title + ": " + detail;
  }
}
