package org.galenapost.daemon.net;

/** The options of the sockets of all HTTP clients. */
public final class ClientSockets {

  /**
   * The size of a send buffer. What is in it counts as written, also if the server never reads it;
   * a small one shows sooner that a server has closed its socket with the request unread.
   */
  public static final int SEND_BUFFER_BYTES = 64 * 1024;

  private ClientSockets() {}
}
