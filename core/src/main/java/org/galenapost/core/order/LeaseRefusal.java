package org.galenapost.core.order;

/** The reason why a lease was not acquired. */
public enum LeaseRefusal {
  /** Another daemon holds the lease, or held it too recently for it to count as expired. */
  HELD,
  /** Another daemon wrote the lease first. */
  CONFLICT,
  /** The lease was held for a newer placement version than this daemon has. */
  PLACEMENT_OUTDATED,
  /** The platform failed, or its answer was lost or unreadable. */
  PLATFORM_UNAVAILABLE
}
