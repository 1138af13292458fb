package org.galenapost.core.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * How daemons watch each other.
 *
 * @param period the time between heartbeats
 * @param neighbours how many daemons each one sends heartbeats to
 * @param indirectProbes how many daemons are asked to probe a silent one
 * @param silentPeriods how many periods of silence make a suspicion
 * @param suspicionTimeout how long a suspected daemon may refute
 * @param updatesPerMessage how many updates travel with a message at most
 * @param tableInterval the least time between two whole views sent
 * @param forgetAfter how long a lost daemon stays known once the host list lacks it
 */
public record MembershipSettings(
    Duration period,
    int neighbours,
    int indirectProbes,
    int silentPeriods,
    Duration suspicionTimeout,
    int updatesPerMessage,
    Duration tableInterval,
    Duration forgetAfter) {

  /** Checks that every part is present. */
  public MembershipSettings {
    Objects.requireNonNull(period, "period");
    Objects.requireNonNull(suspicionTimeout, "suspicionTimeout");
    Objects.requireNonNull(tableInterval, "tableInterval");
    Objects.requireNonNull(forgetAfter, "forgetAfter");
  }

  /** Returns the settings of the daemon. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofSeconds(1),
        4,
        3,
        3,
        Duration.ofSeconds(5),
        6,
        Duration.ofSeconds(20),
        Duration.ofMinutes(2));
  }
}
