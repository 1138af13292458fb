package org.galenapost.core.quarantine;

import java.util.HashSet;
import java.util.Set;

/** The loss of one server with the parts of prompts that may be its cause; compared by identity. */
final class PartLoss {

  private final long atNanos;
  private final Set<String> suspectPartIds = new HashSet<>();

  /**
   * Creates a loss without suspect parts.
   *
   * @param atNanos when the loss was noticed, as a reading of the monotonic clock in nanoseconds
   */
  PartLoss(long atNanos) {
    this.atNanos = atNanos;
  }

  long atNanos() {
    return atNanos;
  }

  /** Returns the suspect parts, which only the index of suspects changes. */
  Set<String> suspectPartIds() {
    return suspectPartIds;
  }
}
