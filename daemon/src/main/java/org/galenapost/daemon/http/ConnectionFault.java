package org.galenapost.daemon.http;

/** Tells the handlers of a connection why the listener is about to close it. */
public enum ConnectionFault {
  /** The head of a request did not arrive in time. */
  HEAD_TOO_SLOW,
  /** The body did not arrive in time. */
  BODY_TOO_SLOW,
  /** The body is longer than the limit. */
  BODY_TOO_LARGE,
  /** The answer was not read in time. */
  READER_TOO_SLOW
}
