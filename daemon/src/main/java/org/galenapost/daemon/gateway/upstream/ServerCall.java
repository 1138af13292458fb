package org.galenapost.daemon.gateway.upstream;

/** One send in progress. */
public interface ServerCall {

  /** Closes the connection, so that the server stops its work; the listener hears no more. */
  void cancel();

  /** Returns whether the request, or a part of it, was handed to a connection. */
  boolean wasSent();

  /** Stops or goes on reading the answer. */
  void setReading(boolean isReading);
}
