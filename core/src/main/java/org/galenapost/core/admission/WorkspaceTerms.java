package org.galenapost.core.admission;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * The entitlement of a workspace.
 *
 * @param weight its weight against other workspaces when capacity is contended
 * @param tokensPerSecondLimit the maximum tokens per second over all daemons, if limited
 */
public record WorkspaceTerms(double weight, OptionalDouble tokensPerSecondLimit) {

  /** The entitlement of a workspace without settings of its own: weight 1 and no limit. */
  public static final WorkspaceTerms UNLIMITED = new WorkspaceTerms(1, OptionalDouble.empty());

  /** Checks the arguments. */
  public WorkspaceTerms {
    Objects.requireNonNull(tokensPerSecondLimit, "tokensPerSecondLimit");
    if (weight <= 0) {
      throw new IllegalArgumentException("weight must be positive, but was " + weight);
    }
  }
}
