package org.galenapost.core.dispatch;

import java.util.Objects;
import java.util.function.Predicate;
import org.galenapost.core.instance.InstanceKey;

/**
 * What is known of servers beyond their announcements.
 *
 * @param useTracker the current use of each server
 * @param speeds the measured speed of each server
 * @param runTimes how long servers work on calls
 * @param health the recent failures of each server
 * @param pauses the pauses that servers asked for
 * @param isBrittle whether a server must not be sent a call that it has no room for
 */
public record ServerObservations(
    ServerUseTracker useTracker,
    ServerSpeeds speeds,
    RunTimes runTimes,
    InstanceHealth health,
    RequestedPauses pauses,
    Predicate<InstanceKey> isBrittle) {

  /** Checks that every part is present. */
  public ServerObservations {
    Objects.requireNonNull(useTracker, "useTracker");
    Objects.requireNonNull(speeds, "speeds");
    Objects.requireNonNull(runTimes, "runTimes");
    Objects.requireNonNull(health, "health");
    Objects.requireNonNull(pauses, "pauses");
    Objects.requireNonNull(isBrittle, "isBrittle");
  }
}
