package org.galenapost.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The forms in which answers are printed. */
public enum OutputFormat {
  TABLE,
  JSON;

  static Optional<OutputFormat> of(String name) {
    return Arrays.stream(values())
        .filter(form -> form.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst();
  }
}
