package org.galenapost.core.generation;

import java.util.Objects;
import java.util.Optional;

/**
 * Identifies one attempt at a generation. Engines receive it in the form {@code
 * generationId.number}.
 *
 * @param generationId the generation that the attempt belongs to
 * @param number the attempt's number within the generation, from 1
 */
public record AttemptId(String generationId, int number) {

  private static final char SEPARATOR = '.';

  /** Checks the arguments. */
  public AttemptId {
    Objects.requireNonNull(generationId, "generationId");
    if (number < 1) {
      throw new IllegalArgumentException("number must be at least 1, but was " + number);
    }
  }

  /**
   * Parses the form that engines receive; returns an empty result if the text is not an attempt id.
   */
  public static Optional<AttemptId> parse(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    if (separator < 1) {
      return Optional.empty();
    }
    try {
      int number = Integer.parseInt(text.substring(separator + 1));
      return number < 1
          ? Optional.empty()
          : Optional.of(new AttemptId(text.substring(0, separator), number));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the form that engines receive. */
  @Override
  public String toString() {
    return generationId + SEPARATOR + number;
  }
}
