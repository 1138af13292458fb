package org.galenapost.core.recovery;

import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.verdict.RefusalReason;

/** Decides how one generation recovers, from its profile's policy and its attempt limits. */
public final class RecoveryPlanner {

  /** Maximum consecutive attempts without a token before the reader has any text. */
  public static final int MAX_ATTEMPTS_WITHOUT_PROGRESS = 4;

  /** Maximum consecutive attempts without a token once the reader has text. */
  public static final int MAX_RESUMES_WITHOUT_PROGRESS = 8;

  /** Maximum attempts of one generation. */
  public static final int MAX_ATTEMPTS = 32;

  private final RecoveryPolicy policy;
  private final String workspace;
  private final RetryAllowance allowance;
  private int attempts;
  private int attemptsWithoutProgress;
  private boolean hasText;

  /**
   * Creates a planner for one generation.
   *
   * @param policy the profile's recovery policy
   * @param workspace the workspace charged for additional attempts
   * @param allowance the budget for additional attempts
   * @param hasText whether the reader already has text
   */
  public RecoveryPlanner(
      RecoveryPolicy policy, String workspace, RetryAllowance allowance, boolean hasText) {
    this.hasText = hasText;
    this.policy = policy;
    this.workspace = workspace;
    this.allowance = allowance;
  }

  /** Records the start of an attempt. */
  public void onStart() {
    attempts++;
    attemptsWithoutProgress++;
  }

  /** Records that an attempt produced a token. */
  public void onProgress() {
    attemptsWithoutProgress = 0;
    hasText = true;
  }

  /**
   * Decides what to do when an attempt has been silent beyond its bound.
   *
   * <p>Hedges only after the first token. Before it, the request may be queued in the engine, and a
   * second attempt would only lengthen the queues.
   *
   * @param liveAttempts the number of live attempts, including the silent one
   * @param isStreaming whether the silent attempt has produced a token
   */
  public RecoveryAction onSuspicion(int liveAttempts, boolean isStreaming) {
    boolean mayHedge = policy == RecoveryPolicy.HEDGE && liveAttempts == 1 && isStreaming;
    if (!mayHedge || isLimitReached() || !allowance.tryTake(workspace)) {
      return new RecoveryAction.KeepWaiting();
    }
    return new RecoveryAction.StartElsewhere(StartCause.HEDGE);
  }

  /**
   * Decides what to do after an attempt is lost.
   *
   * <p>Once the reader has text, the next attempt is charged to the budget but starts even if the
   * budget is exhausted, because a refusal would discard the generated text. The attempt limits and
   * the resume pacer bound such attempts.
   *
   * @param liveAttempts the number of attempts still live
   */
  public RecoveryAction onLoss(int liveAttempts) {
    if (liveAttempts > 0) {
      return new RecoveryAction.KeepWaiting();
    }
    if (isLimitReached()) {
      return new RecoveryAction.Fail(RefusalReason.ATTEMPTS_EXHAUSTED);
    }
    if (!allowance.tryTake(workspace) && !hasText) {
      return new RecoveryAction.Fail(RefusalReason.RETRY_BUDGET_SPENT);
    }
    return new RecoveryAction.StartElsewhere(StartCause.MOVE);
  }

  private boolean isLimitReached() {
    int maxWithoutProgress = hasText ? MAX_RESUMES_WITHOUT_PROGRESS : MAX_ATTEMPTS_WITHOUT_PROGRESS;
    return attemptsWithoutProgress >= maxWithoutProgress || attempts >= MAX_ATTEMPTS;
  }
}
