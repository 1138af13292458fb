package org.galenapost.core.admission;

import java.util.Objects;

/**
 * The recent demand of a workspace.
 *
 * @param workspace the workspace
 * @param tokens the recent demand in tokens; older demand decays exponentially
 */
public record WorkspaceDemand(String workspace, double tokens) {

  /** Checks the arguments. */
  public WorkspaceDemand {
    Objects.requireNonNull(workspace, "workspace");
  }
}
