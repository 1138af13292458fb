package org.galenapost.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The output formats of the command-line tool. */
public enum OutputFormat {
  TABLE,
  JSON;

  static Optional<OutputFormat> of(String name) {
    return Arrays.stream(values())
        .filter(format -> format.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst();
  }
}
