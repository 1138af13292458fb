package org.galenapost.core.configuration;

import java.util.List;
import java.util.Objects;

/**
 * All changes of a kind up to a revision, received from the platform or from a peer.
 *
 * @param kind the kind
 * @param sinceRevision the revision after which the update begins; unused in a full update
 * @param revision the revision up to which the update is complete
 * @param isFull whether the records are all objects of the kind; unlisted objects are deleted
 * @param records the newest record of each object that was written or deleted
 */
public record KindUpdate(
    ConfigurationKind kind,
    long sinceRevision,
    long revision,
    boolean isFull,
    List<ConfigurationRecord> records) {

  /** Checks that the kind is not null and copies the records. */
  public KindUpdate {
    Objects.requireNonNull(kind, "kind");
    records = List.copyOf(records);
  }
}
