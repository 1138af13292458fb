package org.galenapost.core.platform;

import java.util.Objects;

/**
 * Identifies an object of the platform's object API.
 *
 * @param kind the kind, such as {@code profile}
 * @param name the name, unique within the kind
 */
public record ObjectKey(String kind, String name) {

  /** Checks that no component is null. */
  public ObjectKey {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
  }
}
