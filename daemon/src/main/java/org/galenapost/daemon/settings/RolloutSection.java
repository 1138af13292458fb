package org.galenapost.daemon.settings;

import org.galenapost.core.rollout.RolloutSettings;

/**
 * The section for roll-outs. Without it the daemon follows no orders, and every version of a
 * service may be sent requests.
 *
 * @param settings the bounds that roll-outs keep
 */
public record RolloutSection(RolloutSettings settings) {

  private static final double DEFAULT_EXPOSURE_SHARE = 0.1;
  private static final double DEFAULT_EXPOSURE_SLACK = 50;
  private static final double MAX_EXPOSURE_SLACK = 1e9;
  private static final double DEFAULT_REVERT_MS = 5_000;
  private static final double MIN_REVERT_MS = 100;
  private static final double MAX_REVERT_MS = 3_600_000;

  static RolloutSection bind(SectionReader section) {
    return new RolloutSection(
        new RolloutSettings(
            section.decimal("exposure_share", DEFAULT_EXPOSURE_SHARE, 0, 1),
            (int) section.decimal("exposure_slack", DEFAULT_EXPOSURE_SLACK, 0, MAX_EXPOSURE_SLACK),
            (long) section.decimal("revert_ms", DEFAULT_REVERT_MS, MIN_REVERT_MS, MAX_REVERT_MS)));
  }
}
