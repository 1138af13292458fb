package org.galenapost.core.profile;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings by which one type of request is scheduled and recovered.
 *
 * @param name the unique name, as sent in the {@code Galenapost-Profile} header
 * @param urgency the priority within a workspace
 * @param idempotent whether a request may be executed more than once
 * @param deadline the time limit for the complete response
 * @param recovery how a generation resumes after its backend server is lost
 * @param rerun what happens when a rerun does not reproduce the delivered text
 */
public record Profile(
    String name,
    Urgency urgency,
    boolean idempotent,
    Duration deadline,
    RecoveryPolicy recovery,
    RerunPolicy rerun) {

  /** Checks that no component is null and that the deadline is positive. */
  public Profile {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(urgency, "urgency");
    Objects.requireNonNull(deadline, "deadline");
    Objects.requireNonNull(recovery, "recovery");
    Objects.requireNonNull(rerun, "rerun");
    if (deadline.isZero() || deadline.isNegative()) {
      throw new IllegalArgumentException("deadline must be positive, but was " + deadline);
    }
  }
}
