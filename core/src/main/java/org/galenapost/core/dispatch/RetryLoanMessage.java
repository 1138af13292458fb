package org.galenapost.core.dispatch;

import java.util.Objects;
import org.galenapost.core.peer.PeerReply;
import org.galenapost.core.peer.PeerRequest;

/** The messages by which a daemon borrows a retry from the share of another one. */
public final class RetryLoanMessage {

  private RetryLoanMessage() {}

  /**
   * Asks for one retry.
   *
   * @param requestId the id of the request
   * @param service the service to which the call would be sent again
   */
  public record Request(long requestId, String service) implements PeerRequest {
    /** Checks that the service is present. */
    public Request {
      Objects.requireNonNull(service, "service");
    }
  }

  /**
   * Answers a {@link Request}.
   *
   * @param requestId the id of the request
   * @param isGranted whether the sender gave up one retry of its own share
   */
  public record Reply(long requestId, boolean isGranted) implements PeerReply {}
}
