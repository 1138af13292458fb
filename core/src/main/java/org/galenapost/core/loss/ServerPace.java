package org.galenapost.core.loss;

import java.time.Duration;

/**
 * Tracks how long one server usually takes between tokens and to the first token.
 *
 * <p>Keeps a smoothed mean and mean deviation, as retransmission timers do, so that one slow token
 * moves the bound little and a slower server moves it within some tens of tokens. Readings may be
 * lost when several threads write at once; each reading is only a sample.
 */
public final class ServerPace {

  private static final double MEAN_WEIGHT = 1.0 / 16;
  private static final double DEVIATION_WEIGHT = 1.0 / 8;
  private static final double DEVIATIONS = 4;

  private final Estimate tokenGap = new Estimate();
  private final Estimate firstToken = new Estimate();

  /** Records the time between two tokens of one attempt. */
  public void recordTokenGap(long gapNanos) {
    tokenGap.add(gapNanos);
  }

  /** Records the time from the start of an attempt to its first token. */
  public void recordFirstToken(long delayNanos) {
    firstToken.add(delayNanos);
  }

  /** Returns the silence between tokens after which the server is suspicious. */
  Duration tokenGapBound(LossSettings settings) {
    return clamp(tokenGap, settings, settings.tokenGapFloor(), settings.tokenGapCeiling());
  }

  /** Returns the silence before the first token after which the server is suspicious. */
  Duration firstTokenBound(LossSettings settings) {
    Duration ceiling = settings.tokenGapCeiling().plus(settings.firstTokenFloor());
    return clamp(firstToken, settings, settings.firstTokenFloor(), ceiling);
  }

  private static Duration clamp(
      Estimate estimate, LossSettings settings, Duration floor, Duration ceiling) {
    double usualNanos = estimate.meanNanos + DEVIATIONS * estimate.deviationNanos;
    double boundNanos = Math.max(settings.gapMultiple() * estimate.meanNanos, usualNanos);
    long clampedNanos = Math.max(floor.toNanos(), Math.min(ceiling.toNanos(), (long) boundNanos));
    return Duration.ofNanos(clampedNanos);
  }

  private static final class Estimate {

    private volatile double meanNanos;
    private volatile double deviationNanos;

    void add(long sampleNanos) {
      double mean = meanNanos;
      if (mean == 0) {
        meanNanos = sampleNanos;
        return;
      }
      double error = sampleNanos - mean;
      meanNanos = mean + MEAN_WEIGHT * error;
      deviationNanos += DEVIATION_WEIGHT * (Math.abs(error) - deviationNanos);
    }
  }
}
