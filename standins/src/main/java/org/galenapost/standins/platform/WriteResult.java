package org.galenapost.standins.platform;

import java.util.Optional;

/** The result of a conditional write. */
public sealed interface WriteResult {

  /**
   * The write was applied.
   *
   * @param object the object in its new state
   */
  record Written(StoredObject object) implements WriteResult {}

  /**
   * The object was deleted.
   *
   * @param version the revision of the deletion
   */
  record Deleted(long version) implements WriteResult {}

  /**
   * The precondition did not hold.
   *
   * @param current the current object, if it exists
   */
  record Conflict(Optional<StoredObject> current) implements WriteResult {}
}
