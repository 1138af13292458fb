package org.galenapost.core.configuration;

import java.util.Objects;

/**
 * The revision up to which a kind is complete.
 *
 * @param kind the kind
 * @param revision the revision, -1 before the first full update of the kind
 */
public record KindRevision(ConfigurationKind kind, long revision) {

  /** Checks that the kind is not null. */
  public KindRevision {
    Objects.requireNonNull(kind, "kind");
  }
}
