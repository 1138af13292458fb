package org.galenapost.daemon.generation;

import java.util.function.Consumer;
import org.galenapost.core.loss.LossDecision;
import org.galenapost.core.loss.LossReason;

/**
 * Watches the attempts of one generation for silence and broken connections. Used under the lock of
 * the generation; timers and probes enter through the executor given.
 */
final class AttemptMonitor {

  /** Hears what was found out. */
  interface Listener {

    /** Hears that an attempt is silent for suspiciously long. */
    void onSuspicious(LiveAttempt live);

    /** Hears that an attempt is lost. */
    void onLost(LiveAttempt live, Loss loss);

    /** Hears that only the connection of an attempt is gone. */
    void onDisconnected(LiveAttempt live);
  }

  /**
   * What is known about a loss.
   *
   * @param reason how it was found out
   * @param isServerDown whether the server itself does not answer
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
      Consumer<Runnable> locked,
      Listener listener) {
    this.context = context;
    this.probes = probes;
    this.lockedExecutor = locked;
    this.listener = listener;
  }

  /** Looks at an attempt now and again when its silence would be suspicious. */
  void check(LiveAttempt live) {
    long now = context.clock().nanos();
    if (isReadingPaused) {
      live.detector().onReadingResumed(now);
    }
    apply(live, live.detector().check(now));
  }

  /** Says whether tokens are held back on purpose, so that silence means nothing. */
  void setReadingPaused(boolean paused) {
    isReadingPaused = paused;
  }

  private void apply(LiveAttempt live, LossDecision decision) {
    if (decision instanceof LossDecision.Wait wait) {
      live.scheduleCheck(context.scheduler(), wait.delay(), () -> ifMonitored(live, () -> check(live)));
    } else if (decision instanceof LossDecision.Probe probe) {
      live.scheduleCheck(context.scheduler(), probe.delay(), () -> ifMonitored(live, () -> check(live)));
      probe(live, probe.isNew());
    } else if (decision instanceof LossDecision.Lost lost) {
      boolean isServerDead = lost.reason().suggestsServerDown();
      listener.onLost(live, new Loss(lost.reason(), isServerDead, lost.reason().wireName()));
    }
  }

  private void probe(LiveAttempt live, boolean isNew) {
    context.observer().onProbe();
    context
        .engines()
        .probe(live.server(), context.mechanisms().loss().probeTimeout())
        .thenAccept(isAnswered -> ifMonitored(live, () -> onProbeResult(live, isAnswered)));
    if (isNew) {
      listener.onSuspicious(live);
    }
  }

  private void onProbeResult(LiveAttempt live, boolean isAnswered) {
    long now = context.clock().nanos();
    if (isAnswered) {
      live.detector().onProbeAnswered(now);
    } else {
      apply(live, live.detector().onProbeFailed(now));
    }
  }

  /** Asks the server of a broken connection whether it lives: only then attaching can help. */
  void onConnectionReset(LiveAttempt live) {
    live.startConfirmingLoss();
    probes
        .isAlive(live.server())
        .thenAccept(isAlive -> lockedExecutor.accept(() -> onServerProbed(live, isAlive)));
  }

  private void onServerProbed(LiveAttempt live, boolean isAlive) {
    if (live.hasEnded()) {
      return;
    }
    if (isAlive && live.tryTakeReattach()) {
      live.detector().onReadingResumed(context.clock().nanos());
      check(live);
      listener.onDisconnected(live);
      return;
    }
    String detail = isAlive ? "broken again" : "server does not answer";
    listener.onLost(live, new Loss(LossReason.RESET, !isAlive, detail));
  }

  private void ifMonitored(LiveAttempt live, Runnable action) {
    lockedExecutor.accept(
        () -> {
          if (!live.hasEnded() && !live.isConfirmingLoss()) {
            action.run();
          }
        });
  }
}
