package org.galenapost.core.rollout;

import java.util.Optional;
import java.util.Set;

/**
 * The versions that the next send of a request may go to.
 *
 * @param denied the versions that no request may go to
 * @param preferred the version to try first, if one of its servers is available
 */
public record VersionShare(Set<String> denied, Optional<String> preferred) {

  /** Any version may be chosen. */
  public static final VersionShare ANY = new VersionShare(Set.of(), Optional.empty());

  /** Copies the set. */
  public VersionShare {
    denied = Set.copyOf(denied);
  }
}
