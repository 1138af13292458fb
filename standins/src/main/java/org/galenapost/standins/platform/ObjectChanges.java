package org.galenapost.standins.platform;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * The changes to objects of one kind since a revision.
 *
 * @param revision the revision from which to watch next
 * @param updated the written objects, each in its latest state
 * @param deleted the names of the deleted objects
 * @param reset whether the history does not cover the revision, so that the client must list again
 */
public record ObjectChanges(
    long revision, List<StoredObject> updated, List<String> deleted, boolean reset) {

  /** Returns whether there are no changes and no reset. */
  @JsonIgnore
  public boolean isEmpty() {
    return updated.isEmpty() && deleted.isEmpty() && !reset;
  }
}
