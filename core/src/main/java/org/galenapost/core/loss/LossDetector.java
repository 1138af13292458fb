package org.galenapost.core.loss;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides when the silence of one attempt means that it is lost.
 *
 * <p>A silence longer than the server's usual gap is suspicious and asks for a probe. An unanswered
 * probe means loss. An answered one buys another gap, with a new probe at its end, so that a server
 * that freezes after an answer is still found out; silence beyond the bound means loss whatever the
 * probes say. A stall of this process voids the silence measured across it. Not safe for use by
 * several threads.
 */
public final class LossDetector {

  private final LossSettings settings;
  private final ServerPace pace;
  private final StallGuard guard;
  private final long startNanos;
  private long silentSinceNanos;
  private long boundStartNanos;
  private long probeSentNanos;
  private boolean isProbing;
  private boolean isSuspect;
  private boolean hasToken;

  /**
   * Creates the detector of one attempt.
   *
   * @param settings the bounds
   * @param pace the pace of the server that runs the attempt
   * @param guard the guard of the loop on which the detector is used
   * @param nowNanos the current reading of the monotonic clock
   */
  public LossDetector(LossSettings settings, ServerPace pace, StallGuard guard, long nowNanos) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.pace = Objects.requireNonNull(pace, "pace");
    this.guard = Objects.requireNonNull(guard, "guard");
    this.startNanos = nowNanos;
    this.silentSinceNanos = nowNanos;
    this.boundStartNanos = nowNanos;
  }

  /** Records a token; the silence ends. */
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

  /** Records that the reader was paused on purpose, so that no token could come. */
  public void onReadingResumed(long nowNanos) {
    restartSilence(nowNanos);
  }

  /** Records that the outstanding probe was answered. */
  public void onProbeAnswered(long nowNanos) {
    if (isProbing) {
      isProbing = false;
      boundStartNanos = nowNanos;
    }
  }

  /** Records that the outstanding probe failed, and decides. */
  public LossDecision onProbeFailed(long nowNanos) {
    if (!isProbing) {
      return new LossDecision.Wait(remaining(nowNanos));
    }
    if (voidsStall(nowNanos)) {
      return new LossDecision.Wait(bound());
    }
    return new LossDecision.Lost(LossReason.PROBE_FAILED);
  }

  /** Decides what the silence up to now means. */
  public LossDecision check(long nowNanos) {
    if (voidsStall(nowNanos)) {
      return new LossDecision.Wait(bound());
    }
    if (isProbing) {
      return checkProbe(nowNanos);
    }
    if (isSuspect && nowNanos - silentSinceNanos >= maxSilenceNanos()) {
      return new LossDecision.Lost(LossReason.STUCK);
    }
    Duration remaining = remaining(nowNanos);
    if (!remaining.isZero()) {
      return new LossDecision.Wait(remaining);
    }
    return suspect(nowNanos);
  }

  private LossDecision checkProbe(long nowNanos) {
    long leftNanos = settings.probeTimeout().toNanos() - (nowNanos - probeSentNanos);
    return leftNanos > 0
        ? new LossDecision.Wait(Duration.ofNanos(leftNanos))
        : new LossDecision.Lost(LossReason.PROBE_FAILED);
  }

  private LossDecision suspect(long nowNanos) {
    boolean isNew = !isSuspect;
    isSuspect = true;
    isProbing = true;
    probeSentNanos = nowNanos;
    return new LossDecision.Probe(isNew, settings.probeTimeout());
  }

  private boolean voidsStall(long nowNanos) {
    boolean stalled = guard.stalledWithin(silentSinceNanos, nowNanos);
    if (stalled) {
      restartSilence(nowNanos);
    }
    return stalled;
  }

  private void restartSilence(long nowNanos) {
    silentSinceNanos = nowNanos;
    boundStartNanos = nowNanos;
    isProbing = false;
    isSuspect = false;
  }

  private Duration remaining(long nowNanos) {
    long leftNanos = bound().toNanos() - (nowNanos - boundStartNanos);
    return Duration.ofNanos(Math.max(0, leftNanos));
  }

  private Duration bound() {
    return hasToken ? pace.tokenGapBound(settings) : pace.firstTokenBound(settings);
  }

  private long maxSilenceNanos() {
    Duration max = hasToken ? settings.maxSilence() : settings.maxFirstTokenSilence();
    return Math.max(max.toNanos(), bound().toNanos());
  }

  /** Returns whether the attempt has brought a token. */
  public boolean isStreaming() {
    return hasToken;
  }
}
