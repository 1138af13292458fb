package org.galenapost.core.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of failure detection between daemons.
 *
 * @param period the time between heartbeats
 * @param neighbours the number of daemons that each daemon sends heartbeats to
 * @param indirectProbes the number of daemons asked to probe a silent one
 * @param silentPeriods the number of periods without a message before a daemon is suspected
 * @param suspicionTimeout the time a suspected daemon has to refute before it is lost
 * @param updatesPerMessage the maximum number of queued updates in one message
 * @param tableInterval the minimum time between two full tables sent
 * @param forgetAfter how long a lost daemon that is not on the host list stays in the table
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

  /** Checks that no component is null. */
  public MembershipSettings {
    Objects.requireNonNull(period, "period");
    Objects.requireNonNull(suspicionTimeout, "suspicionTimeout");
    Objects.requireNonNull(tableInterval, "tableInterval");
    Objects.requireNonNull(forgetAfter, "forgetAfter");
  }

  /** Returns the default settings. */
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
