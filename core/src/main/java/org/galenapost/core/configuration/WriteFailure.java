package org.galenapost.core.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The reason why a configuration change was not accepted. */
public sealed interface WriteFailure {

  /**
   * The object is invalid; nothing was written.
   *
   * @param faults all validation faults
   */
  record Invalid(List<ConfigurationFault> faults) implements WriteFailure {
    /** Copies the faults. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }

  /**
   * The expected version is not the current one; nothing was written.
   *
   * @param current the object in force, empty if it does not exist
   * @param differences the fields in which the rejected write differs from the current object
   */
  record Conflict(Optional<ConfigurationRecord> current, List<FieldDifference> differences)
      implements WriteFailure {
    /** Copies the differences. */
    public Conflict {
      Objects.requireNonNull(current, "current");
      differences = List.copyOf(differences);
    }
  }

  /**
   * The platform is unavailable or overloaded; nothing was written.
   *
   * @param detail a description of the failure
   */
  record Unavailable(String detail) implements WriteFailure {}

  /**
   * The platform's answer was lost; the write may have taken effect.
   *
   * @param detail a description of the failure
   */
  record OutcomeUnknown(String detail) implements WriteFailure {}
}
