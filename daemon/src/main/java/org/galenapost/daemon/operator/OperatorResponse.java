package org.galenapost.daemon.operator;

import org.galenapost.core.json.Json;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.http.ProblemDocument;

/**
 * A response on the operator port.
 *
 * @param httpStatus the HTTP status code
 * @param contentType the value of the Content-Type header
 * @param body the body as text
 */
public record OperatorResponse(int httpStatus, String contentType, String body) {

  private static final int OK = 200;
  private static final String JSON = "application/json";
  private static final String NO_REQUEST_ID = "";

  /** Returns a 200 response with a JSON document. */
  public static OperatorResponse ok(Object document) {
    return json(OK, document);
  }

  /** Returns a response with a JSON document. */
  public static OperatorResponse json(int httpStatus, Object document) {
    return new OperatorResponse(httpStatus, JSON, Json.write(document));
  }

  /** Returns a 200 response with a text body. */
  public static OperatorResponse text(String contentType, String text) {
    return new OperatorResponse(OK, contentType, text);
  }

  /** Returns a response with the problem document of a refusal. */
  public static OperatorResponse refused(Refusal refusal) {
    ProblemDocument problem = ProblemDocument.of(refusal, NO_REQUEST_ID);
    return new OperatorResponse(
        problem.status(), ProblemDocument.CONTENT_TYPE, Json.write(problem));
  }

  /** Returns a refusal because the requested object or route does not exist. */
  public static OperatorResponse notFound(String detail) {
    return refused(Refusal.notRun(RefusalReason.NOT_FOUND, detail));
  }

  /** Returns a refusal because the request is invalid. */
  public static OperatorResponse badRequest(String detail) {
    return refused(Refusal.notRun(RefusalReason.BAD_REQUEST, detail));
  }
}
