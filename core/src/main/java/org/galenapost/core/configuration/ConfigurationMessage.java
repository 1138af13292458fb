package org.galenapost.core.configuration;

import java.util.List;
import java.util.Objects;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.peer.PeerReply;
import org.galenapost.core.peer.PeerRequest;

/** The messages by which daemons replicate configuration. */
public sealed interface ConfigurationMessage extends PeerMessage {

  /**
   * Broadcasts an accepted change.
   *
   * @param record the accepted object or deletion
   */
  record Push(ConfigurationRecord record) implements ConfigurationMessage {
    /** Checks that the record is present. */
    public Push {
      Objects.requireNonNull(record, "record");
    }
  }

  /**
   * Requests all changes after the sender's revisions.
   *
   * @param revisions the sender's revision of each kind
   */
  record Pull(List<KindRevision> revisions) implements ConfigurationMessage {
    /** Copies the revisions. */
    public Pull {
      revisions = List.copyOf(revisions);
    }
  }

  /**
   * Answers a {@link Pull} for one kind.
   *
   * @param update the changes that the requester lacks
   */
  record Update(KindUpdate update) implements ConfigurationMessage {
    /** Checks that the update is present. */
    public Update {
      Objects.requireNonNull(update, "update");
    }
  }

  /**
   * Reports a watcher's revisions to daemons that do not watch the platform themselves.
   *
   * @param revisions the sender's revision of each kind
   */
  record WatchReport(List<KindRevision> revisions) implements ConfigurationMessage {
    /** Copies the revisions. */
    public WatchReport {
      revisions = List.copyOf(revisions);
    }
  }

  /**
   * Notifies of a newer configuration.
   *
   * @param held the sender's revision of the kind
   */
  record VersionNotice(KindRevision held) implements ConfigurationMessage {
    /** Checks that the revision is present. */
    public VersionNotice {
      Objects.requireNonNull(held, "held");
    }
  }

  /** Requests the revisions that a daemon has in force. */
  record RevisionsQuery() implements ConfigurationMessage {}

  /**
   * Answers a {@link RevisionsQuery}.
   *
   * @param revisions the sender's revision of each kind
   * @param isReady whether the sender serves requests by this configuration
   */
  record RevisionsReport(List<KindRevision> revisions, boolean isReady)
      implements ConfigurationMessage {
    /** Copies the revisions. */
    public RevisionsReport {
      revisions = List.copyOf(revisions);
    }

    /** Returns whether the sender has received at least one full update of every kind. */
    boolean isComplete() {
      return revisions.stream().noneMatch(held -> held.revision() == KindState.NOTHING_SEEN);
    }
  }

  /**
   * Queries whether a version of an object is in force.
   *
   * @param requestId correlates the reply with the query
   * @param kind the kind of object
   * @param name the name of the object
   * @param version the version of the object
   */
  record InForceQuery(long requestId, ConfigurationKind kind, String name, long version)
      implements ConfigurationMessage, PeerRequest {
    /** Checks that no component is null. */
    public InForceQuery {
      Objects.requireNonNull(kind, "kind");
      Objects.requireNonNull(name, "name");
    }
  }

  /**
   * Answers an {@link InForceQuery}.
   *
   * @param requestId the id of the query
   * @param isInForce whether the version, or a later one, is in force
   * @param revisions the sender's revision of each kind
   */
  record InForceReport(long requestId, boolean isInForce, List<KindRevision> revisions)
      implements ConfigurationMessage, PeerReply {
    /** Copies the revisions. */
    public InForceReport {
      revisions = List.copyOf(revisions);
    }
  }
}
