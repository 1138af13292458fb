package org.galenapost.core.action;

import java.util.Objects;
import java.util.Optional;

/**
 * A backend server's response to an action, stored and returned to callers that repeat the request.
 *
 * @param httpStatus the HTTP status code
 * @param contentType the media type of the response body
 * @param body the response body, empty if longer than {@link #MAX_BODY_CHARS}
 */
public record ActionAnswer(int httpStatus, String contentType, Optional<String> body) {

  /** Maximum length of a stored body, in characters. */
  public static final int MAX_BODY_CHARS = 1024;

  /** Checks that every part is present and drops a body that is too long. */
  public ActionAnswer {
    Objects.requireNonNull(contentType, "contentType");
    body = body.filter(text -> text.length() <= MAX_BODY_CHARS);
  }
}
