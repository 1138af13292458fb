package org.galenapost.core.configuration;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * What the comparison of a starting daemon's configuration with that of its peers depends on.
 *
 * @param knownPeerCount returns the number of other daemons that may be running
 * @param onOutcome notified once of the outcome
 */
public record StartCheck(IntSupplier knownPeerCount, Consumer<Outcome> onOutcome) {

  /** Checks that no component is null. */
  public StartCheck {
    Objects.requireNonNull(knownPeerCount, "knownPeerCount");
    Objects.requireNonNull(onOutcome, "onOutcome");
  }

  /** Returns the check of a daemon that knows no peers and reports to no one. */
  public static StartCheck withoutPeers() {
    return new StartCheck(() -> 0, outcome -> {});
  }

  /**
   * The outcome of a check.
   *
   * @param isConfirmed whether enough peers answered, and none of them has a newer configuration
   * @param answers the number of peers that answered
   */
  public record Outcome(boolean isConfirmed, int answers) {}
}
