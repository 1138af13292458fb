package org.galenapost.daemon.http;

/** A user event that tells the handlers of a connection why the connection will be closed. */
public enum ConnectionFault {
  /** The request head did not arrive within the timeout. */
  HEAD_TOO_SLOW,
  /** The heads of later requests took the room of the incomplete request. */
  HEAD_EVICTED,
  /** The request body did not arrive within the timeout. */
  BODY_TOO_SLOW,
  /** The request body is longer than the limit. */
  BODY_TOO_LARGE,
  /** The caller did not read the response within the timeout. */
  READER_TOO_SLOW
}
