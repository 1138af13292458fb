package org.galenapost.core.configuration;

import java.util.Objects;

/**
 * The revision up to which a kind is complete.
 *
 * @param kind the kind
 * @param revision the revision, -1 before the first full update of the kind
 * @param contentVersion the highest version that the content of an object of the kind states, 0 if
 *     none does
 */
public record KindRevision(ConfigurationKind kind, long revision, long contentVersion) {

  /** Checks that the kind is not null. */
  public KindRevision {
    Objects.requireNonNull(kind, "kind");
  }
}
