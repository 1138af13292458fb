package org.galenapost.core.loss;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds for the detection of lost attempts.
 *
 * @param tokenGapFloor the minimum silence between tokens that triggers a probe
 * @param firstTokenFloor the minimum silence before the first token that triggers a probe
 * @param gapMultiple the multiple of the server's mean gap after which a probe is sent, at least 1
 * @param tokenGapCeiling the silence between tokens that always triggers a probe
 * @param probeTimeout the time after which an unanswered probe fails
 * @param maxSilence the silence between tokens that means loss even if probes succeed
 * @param maxFirstTokenSilence the silence before the first token that means loss even if probes
 *     succeed; longer than {@code maxSilence} because an engine may queue the request
 */
public record LossSettings(
    Duration tokenGapFloor,
    Duration firstTokenFloor,
    double gapMultiple,
    Duration tokenGapCeiling,
    Duration probeTimeout,
    Duration maxSilence,
    Duration maxFirstTokenSilence) {

  private static final Duration DEFAULT_TOKEN_GAP_FLOOR = Duration.ofMillis(400);
  private static final Duration DEFAULT_FIRST_TOKEN_FLOOR = Duration.ofMillis(1500);
  private static final double DEFAULT_GAP_MULTIPLE = 6.0;
  private static final Duration DEFAULT_TOKEN_GAP_CEILING = Duration.ofMillis(2000);
  private static final Duration DEFAULT_PROBE_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_MAX_SILENCE = Duration.ofMillis(3000);
  private static final Duration DEFAULT_MAX_FIRST_TOKEN_SILENCE = Duration.ofSeconds(15);

  /** Checks the arguments. */
  public LossSettings {
    Objects.requireNonNull(tokenGapFloor, "tokenGapFloor");
    Objects.requireNonNull(firstTokenFloor, "firstTokenFloor");
    Objects.requireNonNull(tokenGapCeiling, "tokenGapCeiling");
    Objects.requireNonNull(probeTimeout, "probeTimeout");
    Objects.requireNonNull(maxSilence, "maxSilence");
    Objects.requireNonNull(maxFirstTokenSilence, "maxFirstTokenSilence");
    if (gapMultiple < 1) {
      throw new IllegalArgumentException("gapMultiple must be at least 1, but was " + gapMultiple);
    }
  }

  /** Returns the default bounds. */
  public static LossSettings defaults() {
    return new LossSettings(
        DEFAULT_TOKEN_GAP_FLOOR,
        DEFAULT_FIRST_TOKEN_FLOOR,
        DEFAULT_GAP_MULTIPLE,
        DEFAULT_TOKEN_GAP_CEILING,
        DEFAULT_PROBE_TIMEOUT,
        DEFAULT_MAX_SILENCE,
        DEFAULT_MAX_FIRST_TOKEN_SILENCE);
  }
}
