package org.galenapost.standins.platform;

import java.util.Optional;

/** The condition under which a write is applied. */
@FunctionalInterface
public interface Precondition {

  /** Returns whether the write may be applied to the current object. */
  boolean allows(Optional<StoredObject> current);

  /** Returns a precondition that the object does not exist. */
  static Precondition isAbsent() {
    return Optional::isEmpty;
  }

  /** Returns a precondition that the object has the given version. */
  static Precondition hasVersion(long version) {
    return current -> current.map(object -> object.version() == version).orElse(false);
  }
}
