package org.galenapost.core.dispatch;

import java.util.Objects;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerReply;
import org.galenapost.core.peer.PeerRequest;

/** The messages by which a daemon asks another one for a permit to send to a limited server. */
public final class SendPermitMessage {

  private SendPermitMessage() {}

  /**
   * Asks for one permit.
   *
   * @param requestId correlates the reply with the request
   * @param server the limited server
   * @param requestsPerS the limit that the sender knows, in requests per second
   */
  public record Request(long requestId, InstanceKey server, double requestsPerS)
      implements PeerRequest {
    /** Checks that the server is present. */
    public Request {
      Objects.requireNonNull(server, "server");
    }
  }

  /**
   * Answers a {@link Request}.
   *
   * @param requestId the id of the request
   * @param isGranted whether the sender may send one call
   * @param waitMs the time until there is a permit if none is granted, in milliseconds
   */
  public record Reply(long requestId, boolean isGranted, long waitMs) implements PeerReply {}
}
