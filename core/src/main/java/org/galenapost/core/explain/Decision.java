package org.galenapost.core.explain;

import java.util.Objects;

/**
 * A decision made for a request, with its explanation.
 *
 * @param kind the kind of decision
 * @param reason the reason, in one line
 */
public record Decision(DecisionKind kind, String reason) {

  /** Checks that both parts are present. */
  public Decision {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(reason, "reason");
  }
}
