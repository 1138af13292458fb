package org.galenapost.core.origin;

import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.peer.PeerReply;
import org.galenapost.core.peer.PeerRequest;

/** The messages by which daemons tell each other where streams began. */
public final class StreamOriginMessage {

  private StreamOriginMessage() {}

  /**
   * Tells where a stream began.
   *
   * @param stream the id of the caller's attempt that brought the first event
   * @param origin where the stream began
   * @param lifetimeMs how long the caller may still resume the stream, in milliseconds
   */
  public record Announcement(String stream, StreamOrigin origin, long lifetimeMs)
      implements PeerMessage {
    /** Checks that the stream and its origin are present. */
    public Announcement {
      Objects.requireNonNull(stream, "stream");
      Objects.requireNonNull(origin, "origin");
    }
  }

  /**
   * Asks where a stream began.
   *
   * @param requestId correlates the reply with the request
   * @param stream the id of the caller's attempt that brought the first event
   */
  public record Query(long requestId, String stream) implements PeerRequest {
    /** Checks that the stream is present. */
    public Query {
      Objects.requireNonNull(stream, "stream");
    }
  }

  /**
   * Answers a {@link Query}.
   *
   * @param requestId the id of the request
   * @param origin where the stream began; empty if the sender does not know it
   */
  public record Reply(long requestId, Optional<StreamOrigin> origin) implements PeerReply {
    /** Replaces an absent origin by an empty one. */
    public Reply {
      origin = origin == null ? Optional.empty() : origin;
    }
  }
}
