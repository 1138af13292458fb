package org.galenapost.core.rollout;

import java.util.Optional;
import java.util.Set;

/**
 * The versions that the next send of a request may go to.
 *
 * @param denied the versions that no request may go to, except a stream that began there
 * @param preferred the version to try first, if one of its servers is available
 * @param serverRatio how many servers of the preferred version may be chosen, for each server of
 *     the other versions; 1 or more for all
 * @param resumable a denied version at which streams that began there may go on
 */
public record VersionShare(
    Set<String> denied,
    Optional<String> preferred,
    double serverRatio,
    Optional<String> resumable) {

  /** Any version may be chosen. */
  public static final VersionShare ANY = denying(Set.of());

  /** Copies the set. */
  public VersionShare {
    denied = Set.copyOf(denied);
  }

  /** Returns a share without a preferred version. */
  static VersionShare denying(Set<String> denied) {
    return new VersionShare(denied, Optional.empty(), 1, Optional.empty());
  }
}
