package org.galenapost.daemon.gateway.upstream;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * A call on its way to servers, with the connections that have carried its sends. A response names
 * the call and not the send, so that only the connection tells which send it answers: a connection
 * carries a call once. Not safe for use by several threads.
 */
public final class OutgoingCall {

  private final String id;
  private final boolean isRetryable;
  private final Set<Long> usedConnections = new HashSet<>();

  /**
   * Creates a call that has not been sent yet.
   *
   * @param id the id of the call; a response that names another id is skipped
   * @param isRetryable whether the call may be sent again if the server has just closed the
   *     connection
   */
  public OutgoingCall(String id, boolean isRetryable) {
    this.id = Objects.requireNonNull(id, "id");
    this.isRetryable = isRetryable;
  }

  String id() {
    return id;
  }

  boolean isRetryable() {
    return isRetryable;
  }

  boolean hasUsed(long connection) {
    return usedConnections.contains(connection);
  }

  void recordUse(long connection) {
    usedConnections.add(connection);
  }
}
