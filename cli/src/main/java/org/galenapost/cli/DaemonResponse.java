package org.galenapost.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer of a daemon's operator port.
 *
 * @param httpStatus the status
 * @param document the body
 */
public record DaemonResponse(int httpStatus, JsonNode document) {

  private static final String MAY_HAVE_RUN = "may-have-run";
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  /** Returns whether the daemon did what it was asked to. */
  public boolean isSuccess() {
    return httpStatus < FIRST_NON_SUCCESS_STATUS;
  }

  /** Returns whether another change came first. */
  public boolean isConflict() {
    return httpStatus == CONFLICT;
  }

  /** Returns whether the thing does not exist. */
  public boolean isNotFound() {
    return httpStatus == NOT_FOUND;
  }

  /** Returns the exit code of a refusal. */
  public ExitCode exitCode() {
    boolean mayHaveRun = document.path("verdict").asText().equals(MAY_HAVE_RUN);
    return mayHaveRun ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED;
  }

  /** Returns the refusal as one line. */
  public String describe() {
    String title = document.path("title").asText("http-" + httpStatus);
    String detail = document.path("detail").asText("");
    return detail.isEmpty() ? title : title + ": " + detail;
  }
}
