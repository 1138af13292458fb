package org.galenapost.core.peer;

/** A message that expects a {@link PeerReply} with the same request id. */
public interface PeerRequest extends PeerMessage {

  /** Returns the id that matches the reply to this request. */
  long requestId();
}
