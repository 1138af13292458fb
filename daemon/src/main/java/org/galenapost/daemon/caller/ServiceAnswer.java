package org.galenapost.daemon.caller;

import org.galenapost.core.verdict.Verdict;

/**
 * The answer of a plain service.
 *
 * @param httpStatus the HTTP status
 * @param contentType the content type
 * @param body the body, which must not be modified
 */
public record ServiceAnswer(int httpStatus, String contentType, byte[] body) {

  /** The header that carries the verdict. */
  public static final String VERDICT_HEADER = "Galenapost-Verdict";

  /** Returns the verdict, which is that the request ran. */
  public Verdict verdict() {
    return Verdict.RAN;
  }
}
