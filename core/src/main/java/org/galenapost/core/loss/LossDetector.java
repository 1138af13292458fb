package org.galenapost.core.loss;

import java.time.Duration;
import java.util.Objects;

/**
 * Detects from the silence of one attempt whether the attempt is lost.
 *
 * <p>A silence longer than a bound derived from the server's usual token gap triggers a probe. If
 * the probe fails or times out, the attempt is lost. If it succeeds, the bound starts anew and a
 * further probe follows when it expires, which detects a server that freezes after a successful
 * probe. A silence longer than the configured maximum means loss even if probes succeed. If this
 * process stalled during the silence, the measurement restarts. Not thread-safe.
 */
public final class LossDetector {

  private final LossSettings settings;
  private final ServerPace pace;
  private final StallGuard guard;
  private final long startNanos;
  private long silentSinceNanos;
  private long boundStartedNanos;
  private long probeSentNanos;
  private boolean isProbing;
  private boolean hasProbed;
  private boolean hasToken;

  /**
   * Creates a detector for one attempt.
   *
   * @param settings the bounds on silence and probes
   * @param pace the token timing of the server that runs the attempt
   * @param guard detects stalls of the event loop that runs the detector
   * @param nowNanos the current monotonic time in nanoseconds
   */
  public LossDetector(LossSettings settings, ServerPace pace, StallGuard guard, long nowNanos) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.pace = Objects.requireNonNull(pace, "pace");
    this.guard = Objects.requireNonNull(guard, "guard");
    this.startNanos = nowNanos;
    this.silentSinceNanos = nowNanos;
    this.boundStartedNanos = nowNanos;
  }

  /** Records a token, which ends the silence. */
  public void onToken(long nowNanos) {
    if (!guard.stalledWithin(silentSinceNanos, nowNanos)) {
      recordPace(nowNanos);
    }
    hasToken = true;
    restartSilence(nowNanos);
  }

  private void recordPace(long nowNanos) {
    if (hasToken) {
      pace.recordTokenGap(nowNanos - silentSinceNanos);
    } else {
      pace.recordFirstToken(nowNanos - startNanos);
    }
  }

  /** Restarts the silence after a deliberate pause in reading, during which no token can arrive. */
  public void onReadingResumed(long nowNanos) {
    restartSilence(nowNanos);
  }

  /** Records that the outstanding probe succeeded. */
  public void onProbeAnswered(long nowNanos) {
    if (isProbing) {
      isProbing = false;
      boundStartedNanos = nowNanos;
    }
  }

  /** Records that the outstanding probe failed and returns the resulting decision. */
  public LossDecision onProbeFailed(long nowNanos) {
    if (!isProbing) {
      return new LossDecision.Wait(remainingSilence(nowNanos));
    }
    if (restartSilenceIfStalled(nowNanos)) {
      return new LossDecision.Wait(silenceBound());
    }
    return new LossDecision.Lost(LossReason.PROBE_FAILED);
  }

  /** Evaluates the silence up to the given monotonic time in nanoseconds. */
  public LossDecision check(long nowNanos) {
    if (restartSilenceIfStalled(nowNanos)) {
      return new LossDecision.Wait(silenceBound());
    }
    if (isProbing) {
      return checkProbe(nowNanos);
    }
    if (hasProbed && nowNanos - silentSinceNanos >= maxSilenceNanos()) {
      return new LossDecision.Lost(LossReason.STUCK);
    }
    Duration remaining = remainingSilence(nowNanos);
    if (!remaining.isZero()) {
      return new LossDecision.Wait(remaining);
    }
    return startProbe(nowNanos);
  }

  private LossDecision checkProbe(long nowNanos) {
    long remainingNanos = settings.probeTimeout().toNanos() - (nowNanos - probeSentNanos);
    return remainingNanos > 0
        ? new LossDecision.Wait(Duration.ofNanos(remainingNanos))
        : new LossDecision.Lost(LossReason.PROBE_FAILED);
  }

  private LossDecision startProbe(long nowNanos) {
    boolean isNew = !hasProbed;
    hasProbed = true;
    isProbing = true;
    probeSentNanos = nowNanos;
    return new LossDecision.Probe(isNew, settings.probeTimeout());
  }

  private boolean restartSilenceIfStalled(long nowNanos) {
    boolean stalled = guard.stalledWithin(silentSinceNanos, nowNanos);
    if (stalled) {
      restartSilence(nowNanos);
    }
    return stalled;
  }

  private void restartSilence(long nowNanos) {
    silentSinceNanos = nowNanos;
    boundStartedNanos = nowNanos;
    isProbing = false;
    hasProbed = false;
  }

  private Duration remainingSilence(long nowNanos) {
    long remainingNanos = silenceBound().toNanos() - (nowNanos - boundStartedNanos);
    return Duration.ofNanos(Math.max(0, remainingNanos));
  }

  private Duration silenceBound() {
    return hasToken ? pace.tokenGapBound(settings) : pace.firstTokenBound(settings);
  }

  private long maxSilenceNanos() {
    Duration max = hasToken ? settings.maxSilence() : settings.maxFirstTokenSilence();
    return Math.max(max.toNanos(), silenceBound().toNanos());
  }

  /** Returns whether the attempt has produced a token. */
  public boolean isStreaming() {
    return hasToken;
  }
}
