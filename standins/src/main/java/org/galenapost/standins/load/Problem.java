package org.galenapost.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.galenapost.standins.json.Json;

/**
 * The fields of a problem document used by the report.
 *
 * @param reason the reason of the refusal
 * @param verdict whether the request may have run
 * @param retryAfterMs the delay before a retry in milliseconds, or 0 if not specified
 */
record Problem(String reason, String verdict, long retryAfterMs) {

  private static final String UNKNOWN_VERDICT = "unknown";

  /** Parses a problem document. Other text yields a reason derived from the HTTP status. */
  static Problem parse(int status, String text) {
    try {
      Problem problem = Json.read(text, Problem.class);
      if (problem != null && problem.reason != null && problem.verdict != null) {
        return problem;
      }
    } catch (JsonProcessingException e) {
      return new Problem("http-" + status, UNKNOWN_VERDICT, 0);
    }
    return new Problem("http-" + status, UNKNOWN_VERDICT, 0);
  }

  /** Returns whether the verdict states that the request ran. */
  boolean hasRanVerdict() {
    return "ran".equals(verdict);
  }

  /** Returns whether the verdict states that the request did not run. */
  boolean hasNotRunVerdict() {
    return "not-run".equals(verdict);
  }
}
