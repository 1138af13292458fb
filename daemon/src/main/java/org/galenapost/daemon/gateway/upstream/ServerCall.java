package org.galenapost.daemon.gateway.upstream;

/** A send in progress. */
public interface ServerCall {

  /**
   * Closes the connection so that the server stops its work; no listener method is called again.
   */
  void cancel();

  /** Returns whether the request or a part of it was handed to a connection. */
  boolean wasSent();

  /** Returns which connection carries the send. */
  ConnectionTrace trace();

  /** Pauses or resumes reading of the response. */
  void setReading(boolean isReading);
}
