package org.galenapost.core.platform;

import java.util.List;

/**
 * The changes of a kind since a revision.
 *
 * @param revision the revision to watch from next
 * @param updated the newest version of each object that was written
 * @param deleted the keys of the deleted objects
 * @param reset whether the platform no longer knows the earlier revision, so that the kind must be
 *     listed again
 */
public record Changes(
    long revision, List<VersionedObject> updated, List<ObjectKey> deleted, boolean reset) {

  /** Copies the lists. */
  public Changes {
    updated = List.copyOf(updated);
    deleted = List.copyOf(deleted);
  }
}
