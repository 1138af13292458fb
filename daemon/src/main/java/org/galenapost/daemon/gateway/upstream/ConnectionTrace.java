package org.galenapost.daemon.gateway.upstream;

/**
 * Tells in the logs which connection carried a send.
 *
 * @param connection the number of the connection, unique in this process; 0 if there was none
 * @param sends the number of sends that the connection has carried, with this one
 */
public record ConnectionTrace(long connection, int sends) {

  /** The trace of a send that got no connection. */
  public static final ConnectionTrace NONE = new ConnectionTrace(0, 0);
}
