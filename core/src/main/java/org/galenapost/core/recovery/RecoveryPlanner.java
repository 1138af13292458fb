package org.galenapost.core.recovery;

import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.verdict.RefusalReason;

/** Decides how one generation goes on, by its profile's policy and its bounds. */
public final class RecoveryPlanner {

  /** The most attempts in a row that bring no token, before the reader has any text. */
  public static final int MAX_ATTEMPTS_WITHOUT_PROGRESS = 4;

  /** The most attempts in a row that bring no token, once the reader has text. */
  public static final int MAX_RESUMES_WITHOUT_PROGRESS = 8;

  /** The most attempts of one generation. */
  public static final int MAX_ATTEMPTS = 32;

  private final RecoveryPolicy policy;
  private final String workspace;
  private final RetryAllowance allowance;
  private int attempts;
  private int fruitlessAttempts;
  private boolean hasText;

  /**
   * Creates the planner of one generation.
   *
   * @param policy the profile's policy
   * @param workspace the workspace that pays for additional attempts
   * @param allowance what may still be spent
   * @param hasText whether the reader already has text
   */
  public RecoveryPlanner(
      RecoveryPolicy policy, String workspace, RetryAllowance allowance, boolean hasText) {
    this.hasText = hasText;
    this.policy = policy;
    this.workspace = workspace;
    this.allowance = allowance;
  }

  /** Records that an attempt was started. */
  public void onStart() {
    attempts++;
    fruitlessAttempts++;
  }

  /** Records that an attempt brought a token. */
  public void onProgress() {
    fruitlessAttempts = 0;
    hasText = true;
  }

  /**
   * Decides about an attempt that has become suspicious.
   *
   * <p>Before the first token, silence may be a queue inside the engine; a second attempt would
   * then only lengthen the queues, so that hedging starts with the stream.
   *
   * @param liveAttempts how many attempts are live, with the suspicious one
   * @param isStreaming whether the suspicious attempt has brought a token
   */
  public RecoveryAction onSuspicion(int liveAttempts, boolean isStreaming) {
    boolean mayHedge = policy == RecoveryPolicy.HEDGE && liveAttempts == 1 && isStreaming;
    if (!mayHedge || isBoundReached() || !allowance.tryTake(workspace)) {
      return new RecoveryAction.KeepWaiting();
    }
    return new RecoveryAction.StartElsewhere(StartCause.HEDGE);
  }

  /**
   * Decides after an attempt was lost.
   *
   * <p>Once the reader has text, the next attempt draws on what may be spent but is not refused for
   * want of it: the work done would be thrown away, and such attempts are bounded and paced.
   *
   * @param liveAttempts how many attempts are still live
   */
  public RecoveryAction onLoss(int liveAttempts) {
    if (liveAttempts > 0) {
      return new RecoveryAction.KeepWaiting();
    }
    if (isBoundReached()) {
      return new RecoveryAction.Fail(RefusalReason.ATTEMPTS_EXHAUSTED);
    }
    if (!allowance.tryTake(workspace) && !hasText) {
      return new RecoveryAction.Fail(RefusalReason.RETRY_BUDGET_SPENT);
    }
    return new RecoveryAction.StartElsewhere(StartCause.MOVE);
  }

  private boolean isBoundReached() {
    int maxFruitless = hasText ? MAX_RESUMES_WITHOUT_PROGRESS : MAX_ATTEMPTS_WITHOUT_PROGRESS;
    return fruitlessAttempts >= maxFruitless || attempts >= MAX_ATTEMPTS;
  }
}
