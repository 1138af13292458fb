package org.galenapost.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.galenapost.standins.json.Json;

/**
 * A refusal, as far as the report needs it.
 *
 * @param reason why
 * @param verdict whether the request may have run
 * @param retryAfterMs when to come back; 0 if not said
 */
record Problem(String reason, String verdict, long retryAfterMs) {

  private static final String UNKNOWN_VERDICT = "unknown";

  /** Reads a problem document; text of another kind is named by the status. */
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

  /** Returns whether the verdict is that it ran. */
  boolean hasRanVerdict() {
    return "ran".equals(verdict);
  }

  /** Returns whether the verdict is that it did not run. */
  boolean hasNotRunVerdict() {
    return "not-run".equals(verdict);
  }
}
