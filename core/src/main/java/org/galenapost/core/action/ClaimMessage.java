package org.galenapost.core.action;

import java.util.Objects;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.peer.PeerReply;
import org.galenapost.core.peer.PeerRequest;

/** Messages that forward operations to the daemon that batches a bucket's writes. */
public sealed interface ClaimMessage extends PeerMessage {

  /**
   * Forwards an operation.
   *
   * @param requestId the id that correlates the reply
   * @param operation the operation
   */
  record Submit(long requestId, ClaimOperation operation) implements ClaimMessage, PeerRequest {
    /** Checks that the operation is present. */
    public Submit {
      Objects.requireNonNull(operation, "operation");
    }
  }

  /**
   * Returns the result of an operation.
   *
   * @param requestId the id of the request
   * @param result the result
   */
  record Result(long requestId, ClaimResult result) implements ClaimMessage, PeerReply {
    /** Checks that the result is present. */
    public Result {
      Objects.requireNonNull(result, "result");
    }
  }
}
