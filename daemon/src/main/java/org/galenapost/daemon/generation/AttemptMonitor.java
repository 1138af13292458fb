package org.galenapost.daemon.generation;

import java.util.function.Consumer;
import org.galenapost.core.loss.LossDecision;
import org.galenapost.core.loss.LossReason;

/**
 * Monitors the attempts of one generation for silence and broken connections. All methods are
 * called under the lock of the generation. Timers and probe results take that lock through the
 * executor.
 */
final class AttemptMonitor {

  /** Is notified of suspected and lost attempts. */
  interface Listener {

    /** Called when the silence of an attempt becomes suspicious. */
    void onSuspicious(LiveAttempt attempt);

    /** Called when an attempt is lost. */
    void onLost(LiveAttempt attempt, Loss loss);

    /** Called when an attempt has lost its connection while its server still answers. */
    void onDisconnected(LiveAttempt attempt);
  }

  /**
   * The loss of an attempt.
   *
   * @param reason how the loss was detected
   * @param isServerDown whether the server does not answer or is presumed down
   * @param detail one line for the trace
   */
  record Loss(LossReason reason, boolean isServerDown, String detail) {}

  private final GenerationContext context;
  private final ServerProbes probes;
  private final Consumer<Runnable> lockedExecutor;
  private final Listener listener;
  private boolean isReadingPaused;

  AttemptMonitor(
      GenerationContext context,
      ServerProbes probes,
      Consumer<Runnable> lockedExecutor,
      Listener listener) {
    this.context = context;
    this.probes = probes;
    this.lockedExecutor = lockedExecutor;
    this.listener = listener;
  }

  /** Checks an attempt now and schedules the next check. */
  void check(LiveAttempt attempt) {
    long now = context.clock().nanos();
    if (isReadingPaused) {
      attempt.detector().onReadingResumed(now);
    }
    apply(attempt, attempt.detector().check(now));
  }

  /**
   * Sets whether reading is paused for a slow reader, in which case silence is no sign of a loss.
   */
  void setReadingPaused(boolean isPaused) {
    isReadingPaused = isPaused;
  }

  private void apply(LiveAttempt attempt, LossDecision decision) {
    if (decision instanceof LossDecision.Wait wait) {
      attempt.scheduleCheck(
          context.scheduler(), wait.delay(), () -> ifMonitored(attempt, () -> check(attempt)));
    } else if (decision instanceof LossDecision.Probe probe) {
      attempt.scheduleCheck(
          context.scheduler(), probe.delay(), () -> ifMonitored(attempt, () -> check(attempt)));
      probe(attempt, probe.isNew());
    } else if (decision instanceof LossDecision.Lost lost) {
      boolean isServerDown = lost.reason().suggestsServerDown();
      listener.onLost(attempt, new Loss(lost.reason(), isServerDown, lost.reason().wireName()));
    }
  }

  private void probe(LiveAttempt attempt, boolean isNew) {
    context.observer().onProbe();
    context
        .engines()
        .probe(attempt.server(), context.mechanisms().loss().probeTimeout())
        .thenAccept(isAnswered -> ifMonitored(attempt, () -> onProbeResult(attempt, isAnswered)));
    if (isNew) {
      listener.onSuspicious(attempt);
    }
  }

  private void onProbeResult(LiveAttempt attempt, boolean isAnswered) {
    long now = context.clock().nanos();
    if (isAnswered) {
      attempt.detector().onProbeAnswered(now);
    } else {
      apply(attempt, attempt.detector().onProbeFailed(now));
    }
  }

  /** Probes the server of a broken connection, because attaching again needs a live server. */
  void onConnectionReset(LiveAttempt attempt) {
    attempt.startConfirmingLoss();
    probes
        .isAlive(attempt.server())
        .thenAccept(isAlive -> lockedExecutor.accept(() -> onServerProbed(attempt, isAlive)));
  }

  private void onServerProbed(LiveAttempt attempt, boolean isAlive) {
    if (attempt.hasEnded()) {
      return;
    }
    if (isAlive && attempt.tryTakeReattach()) {
      attempt.detector().onReadingResumed(context.clock().nanos());
      check(attempt);
      listener.onDisconnected(attempt);
      return;
    }
    String detail = isAlive ? "broken again" : "server does not answer";
    listener.onLost(attempt, new Loss(LossReason.RESET, !isAlive, detail));
  }

  private void ifMonitored(LiveAttempt attempt, Runnable action) {
    lockedExecutor.accept(
        () -> {
          if (!attempt.hasEnded() && !attempt.isConfirmingLoss()) {
            action.run();
          }
        });
  }
}
