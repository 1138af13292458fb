package org.galenapost.core.configuration;

import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.VersionedObject;

/**
 * The state of one configuration object at one version.
 *
 * @param kind the kind of object
 * @param name the name, unique within the kind
 * @param version the version that the platform assigned to the write or deletion
 * @param json the JSON value, empty if the object was deleted
 */
public record ConfigurationRecord(
    ConfigurationKind kind, String name, long version, Optional<String> json) {

  /** Checks that no component is null. */
  public ConfigurationRecord {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(json, "json");
  }

  /** Returns the record of an object read from the platform. */
  public static ConfigurationRecord of(ConfigurationKind kind, VersionedObject object) {
    return new ConfigurationRecord(
        kind, object.key().name(), object.version(), Optional.of(object.json()));
  }

  /** Returns the record of a deletion. */
  public static ConfigurationRecord deleted(ConfigurationKind kind, String name, long version) {
    return new ConfigurationRecord(kind, name, version, Optional.empty());
  }

  /** Returns the object's key in the platform's object API. */
  public ObjectKey key() {
    return new ObjectKey(kind.wireName(), name);
  }
}
