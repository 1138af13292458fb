package org.galenapost.core.configuration;

import java.util.Objects;

/**
 * A model that the fleet can serve.
 *
 * @param name the unique name
 * @param version the version that placements use by default
 * @param sizeBytes the size of its weights in bytes, used to pace model loads
 */
public record Model(String name, String version, long sizeBytes) {

  /** Checks that no component is null. */
  public Model {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(version, "version");
  }
}
