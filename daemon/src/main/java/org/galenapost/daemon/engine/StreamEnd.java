package org.galenapost.daemon.engine;

/** The ways in which an engine stream can end. */
public enum StreamEnd {
  /** The engine sent its final event. */
  COMPLETE("complete"),
  /** The connection could not be opened, so the engine did not receive the call. */
  UNREACHABLE("unreachable"),
  /** The connection failed or was closed before the final event. */
  RESET("reset"),
  /** The engine does not know the model or no longer keeps the generation. */
  NOT_FOUND("not-found"),
  /** The engine is overloaded or temporarily unavailable. */
  BUSY("busy"),
  /** The engine answered with another error status. */
  ERROR("error"),
  /** The engine sent data that is not a valid chunk of this attempt. */
  MALFORMED("malformed");

  private static final int OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final String wireName;

  StreamEnd(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name that is used in metrics and traces. */
  public String wireName() {
    return wireName;
  }

  static boolean isStream(int httpStatus) {
    return httpStatus == OK;
  }

  static StreamEnd ofStatus(int httpStatus) {
    return switch (httpStatus) {
      case STATUS_NOT_FOUND -> NOT_FOUND;
      case STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE -> BUSY;
      default -> ERROR;
    };
  }
}
