package org.galenapost.core.platform;

import java.util.Objects;

/**
 * An object of the platform's object API at one version.
 *
 * @param key the key of the object
 * @param version the version that a conditional update has to expect; it increases with every write
 *     to any object
 * @param json the value as JSON text
 */
public record VersionedObject(ObjectKey key, long version, String json) {

  /** Checks that no component is null. */
  public VersionedObject {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(json, "json");
  }
}
