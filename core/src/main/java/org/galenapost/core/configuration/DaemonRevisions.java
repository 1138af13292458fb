package org.galenapost.core.configuration;

import java.util.List;
import java.util.Objects;

/**
 * The configuration revisions in force at one daemon.
 *
 * @param daemonId the id of the daemon
 * @param isReachable whether it answered
 * @param isInForce whether the queried version is in force at the daemon
 * @param revisions the revision of each kind
 */
public record DaemonRevisions(
    String daemonId, boolean isReachable, boolean isInForce, List<KindRevision> revisions) {

  /** Checks that the daemon id is not null and copies the revisions. */
  public DaemonRevisions {
    Objects.requireNonNull(daemonId, "daemonId");
    revisions = List.copyOf(revisions);
  }
}
