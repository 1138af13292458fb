package org.galenapost.core.loss;

import java.time.Duration;

/**
 * Estimates one server's usual token gap and time to first token.
 *
 * <p>Keeps an exponentially weighted mean and mean deviation, like the TCP retransmission timer.
 * One slow token changes the bound little, while a server that becomes slower changes it within
 * some tens of tokens. Concurrent updates may lose a sample, which is acceptable for an estimate.
 */
public final class ServerPace {

  private static final double MEAN_WEIGHT = 1.0 / 16;
  private static final double DEVIATION_WEIGHT = 1.0 / 8;
  private static final double DEVIATION_MULTIPLE = 4;

  private final Estimate tokenGap = new Estimate();
  private final Estimate firstToken = new Estimate();

  /** Records the time between two tokens of one attempt, in nanoseconds. */
  public void recordTokenGap(long gapNanos) {
    tokenGap.add(gapNanos);
  }

  /** Records the time from the start of an attempt to its first token, in nanoseconds. */
  public void recordFirstToken(long delayNanos) {
    firstToken.add(delayNanos);
  }

  /** Returns the silence between tokens after which a probe is sent. */
  Duration tokenGapBound(LossSettings settings) {
    return bound(tokenGap, settings, settings.tokenGapFloor(), settings.tokenGapCeiling());
  }

  /** Returns the silence before the first token after which a probe is sent. */
  Duration firstTokenBound(LossSettings settings) {
    Duration ceiling = settings.tokenGapCeiling().plus(settings.firstTokenFloor());
    return bound(firstToken, settings, settings.firstTokenFloor(), ceiling);
  }

  private static Duration bound(
      Estimate estimate, LossSettings settings, Duration floor, Duration ceiling) {
    double deviationBoundNanos = estimate.meanNanos + DEVIATION_MULTIPLE * estimate.deviationNanos;
    double boundNanos = Math.max(settings.gapMultiple() * estimate.meanNanos, deviationBoundNanos);
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
