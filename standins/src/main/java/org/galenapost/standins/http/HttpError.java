package org.galenapost.standins.http;

/** Signals that an exchange is to end with an HTTP error status. */
public final class HttpError extends RuntimeException {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final int status;

  private HttpError(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /** Returns an error with the given status. */
  public static HttpError withStatus(int status, String message) {
    return new HttpError(status, message);
  }

  /** Returns an error with status 400. */
  public static HttpError badRequest(String message) {
    return new HttpError(BAD_REQUEST, message);
  }

  /** Returns an error with status 404 for the named resource. */
  public static HttpError notFound(String resource) {
    return new HttpError(NOT_FOUND, "not found: " + resource);
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }
}
