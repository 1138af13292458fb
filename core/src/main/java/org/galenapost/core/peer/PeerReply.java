package org.galenapost.core.peer;

/** The reply to a {@link PeerRequest}. */
public interface PeerReply extends PeerMessage {

  /** Returns the id of the request that this replies to. */
  long requestId();
}
