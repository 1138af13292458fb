package org.galenapost.daemon.settings;

import java.util.Optional;
import org.galenapost.core.rollout.RolloutSettings;

/** Reads the section for roll-outs. */
final class RolloutSection {

  private static final double DEFAULT_EXPOSURE_SLACK = 50;
  private static final double MAX_EXPOSURE_SLACK = 1e9;
  private static final double DEFAULT_REVERT_MS = 5_000;
  private static final double MIN_REVERT_MS = 100;
  private static final double MAX_REVERT_MS = 3_600_000;

  private RolloutSection() {}

  /**
   * Returns the bounds; empty without a share. The deployment's template always writes the keys,
   * without values if the platform states no bounds.
   */
  static Optional<RolloutSettings> bind(SectionReader section) {
    double share = section.decimal("exposure_share", Double.NaN, 0, 1);
    double slack = section.decimal("exposure_slack", DEFAULT_EXPOSURE_SLACK, 0, MAX_EXPOSURE_SLACK);
    double revertMs = section.decimal("revert_ms", DEFAULT_REVERT_MS, MIN_REVERT_MS, MAX_REVERT_MS);
    return Double.isNaN(share)
        ? Optional.empty()
        : Optional.of(new RolloutSettings(share, (int) slack, Math.round(revertMs)));
  }
}
