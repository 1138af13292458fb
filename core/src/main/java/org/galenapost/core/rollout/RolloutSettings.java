package org.galenapost.core.rollout;

import java.time.Duration;

/**
 * The bounds that a roll-out keeps.
 *
 * @param exposureShare the share of a service's requests that a version on trial may get, from 0 to
 *     1
 * @param exposureSlack the requests that it may get beyond the share
 * @param revertMs how long after the fiftieth bad answer the version may still be sent requests, in
 *     milliseconds
 */
public record RolloutSettings(double exposureShare, int exposureSlack, long revertMs) {

  /** A daemon stops within half of the time, so that the other half is left for the verdict. */
  private static final int LEASE_DIVISOR = 2;

  /** Checks the ranges. */
  public RolloutSettings {
    if (!(exposureShare >= 0 && exposureShare <= 1)) {
      throw new IllegalArgumentException("exposureShare: expected 0 to 1");
    }
    if (exposureSlack < 0 || revertMs <= 0) {
      throw new IllegalArgumentException("exposureSlack and revertMs must not be negative");
    }
  }

  /** Returns how long a daemon sends to the target after the last message of a coordinator. */
  Duration lease() {
    return Duration.ofMillis(revertMs / LEASE_DIVISOR);
  }
}
