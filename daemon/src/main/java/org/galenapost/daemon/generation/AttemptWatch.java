package org.galenapost.daemon.generation;

import java.util.function.Consumer;
import org.galenapost.core.loss.LossDecision;
import org.galenapost.core.loss.LossReason;

/**
 * Watches the attempts of one generation for silence and broken connections. Used under the lock of
 * the generation; timers and probes enter through the executor given.
 */
final class AttemptWatch {

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
   * @param isServerDead whether the server itself does not answer
   * @param detail one line for the trace
   */
  record Loss(LossReason reason, boolean isServerDead, String detail) {}

  private final GenerationContext context;
  private final ServerProbes probes;
  private final Consumer<Runnable> locked;
  private final Listener listener;
  private boolean isPaused;

  AttemptWatch(
      GenerationContext context,
      ServerProbes probes,
      Consumer<Runnable> locked,
      Listener listener) {
    this.context = context;
    this.probes = probes;
    this.locked = locked;
    this.listener = listener;
  }

  /** Looks at an attempt now and again when its silence would be suspicious. */
  void look(LiveAttempt live) {
    long now = context.clock().nanos();
    if (isPaused) {
      live.detector().onReadingResumed(now);
    }
    carryOut(live, live.detector().check(now));
  }

  /** Says whether tokens are held back on purpose, so that silence means nothing. */
  void setPaused(boolean paused) {
    isPaused = paused;
  }

  private void carryOut(LiveAttempt live, LossDecision decision) {
    if (decision instanceof LossDecision.Wait wait) {
      live.arm(context.scheduler(), wait.delay(), () -> ifWatched(live, () -> look(live)));
    } else if (decision instanceof LossDecision.Probe probe) {
      live.arm(context.scheduler(), probe.delay(), () -> ifWatched(live, () -> look(live)));
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
        .thenAccept(isAnswered -> ifWatched(live, () -> onProbed(live, isAnswered)));
    if (isNew) {
      listener.onSuspicious(live);
    }
  }

  private void onProbed(LiveAttempt live, boolean isAnswered) {
    long now = context.clock().nanos();
    if (isAnswered) {
      live.detector().onProbeAnswered(now);
    } else {
      carryOut(live, live.detector().onProbeFailed(now));
    }
  }

  /** Asks the server of a broken connection whether it lives: only then attaching can help. */
  void onBroken(LiveAttempt live) {
    live.confirming();
    probes
        .isAlive(live.server())
        .thenAccept(isAlive -> locked.accept(() -> onConfirmed(live, isAlive)));
  }

  private void onConfirmed(LiveAttempt live, boolean isAlive) {
    if (live.isOver()) {
      return;
    }
    if (isAlive && live.takeReattach()) {
      live.detector().onReadingResumed(context.clock().nanos());
      look(live);
      listener.onDisconnected(live);
      return;
    }
    String detail = isAlive ? "broken again" : "server does not answer";
    listener.onLost(live, new Loss(LossReason.RESET, !isAlive, detail));
  }

  private void ifWatched(LiveAttempt live, Runnable action) {
    locked.accept(
        () -> {
          if (!live.isOver() && !live.isConfirming()) {
            action.run();
          }
        });
  }
}
