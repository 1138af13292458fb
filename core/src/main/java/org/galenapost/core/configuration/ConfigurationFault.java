package org.galenapost.core.configuration;

import java.util.Objects;

/**
 * A validation fault of a configuration object.
 *
 * @param field the path of the invalid field
 * @param expected the values that the field accepts
 * @param found the value that was found
 */
public record ConfigurationFault(String field, String expected, String found) {

  /** Checks that no component is null. */
  public ConfigurationFault {
    Objects.requireNonNull(field, "field");
    Objects.requireNonNull(expected, "expected");
    Objects.requireNonNull(found, "found");
  }

  /** Returns a one-line description of the fault. */
  public String describe() {
    return field + ": expected " + expected + ", but found " + found;
  }
}
