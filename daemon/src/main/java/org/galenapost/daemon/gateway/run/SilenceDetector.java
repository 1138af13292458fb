package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import java.util.function.Consumer;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.loss.LossDecision;
import org.galenapost.core.loss.LossDetector;
import org.galenapost.core.loss.LossSettings;
import org.galenapost.core.time.Scheduler;

/** Watches one send for a server that has fallen silent. */
final class SilenceDetector {

  /**
   * The bounds of a gateway, whose callers count pauses of 700 ms between events as on time: half
   * of that finds a dark server out, the rest is left for going on elsewhere.
   */
  private static final LossSettings SETTINGS =
      new LossSettings(
          Duration.ofMillis(220),
          Duration.ofMillis(300),
          6.0,
          Duration.ofMillis(300),
          Duration.ofMillis(250),
          Duration.ofSeconds(4),
          Duration.ofSeconds(20));

  private final GatewayContext context;
  private final ServerInstance instance;
  private final LossDetector detector;
  private final Consumer<String> onLost;
  private Scheduler.Cancellable timer = () -> {};
  private boolean isStopped;
  private boolean isPaused;

  /**
   * Begins to watch.
   *
   * @param context what calls are run with
   * @param instance the server
   * @param onLost told once if the server is lost, with what was seen
   */
  SilenceDetector(GatewayContext context, ServerInstance instance, Consumer<String> onLost) {
    this.context = context;
    this.instance = instance;
    this.onLost = onLost;
    this.detector =
        new LossDetector(
            SETTINGS,
            context.paces().of(instance.key()),
            context.stallGuard(),
            context.clock().nanos());
    check();
  }

  /** Records bytes from the server. */
  void onBytes() {
    detector.onToken(context.clock().nanos());
  }

  /** Stops watching while the caller does not read. */
  void setPaused(boolean paused) {
    isPaused = paused;
    if (!paused) {
      detector.onReadingResumed(context.clock().nanos());
    }
  }

  void stop() {
    isStopped = true;
    timer.cancel();
  }

  private void check() {
    if (isStopped) {
      return;
    }
    LossDecision decision =
        isPaused
            ? new LossDecision.Wait(SETTINGS.tokenGapFloor())
            : detector.check(context.clock().nanos());
    if (decision instanceof LossDecision.Wait wait) {
      scheduleCheck(wait.delay());
    } else if (decision instanceof LossDecision.Probe probe) {
      context.probes().probe(instance, this::onProbe);
      scheduleCheck(probe.delay());
    } else if (decision instanceof LossDecision.Lost lost) {
      reportLost(lost);
    }
  }

  private void onProbe(boolean isAnswered) {
    if (isStopped) {
      return;
    }
    if (isAnswered) {
      detector.onProbeAnswered(context.clock().nanos());
    } else if (detector.onProbeFailed(context.clock().nanos()) instanceof LossDecision.Lost lost) {
      reportLost(lost);
    }
  }

  private void reportLost(LossDecision.Lost lost) {
    stop();
    onLost.accept(lost.reason().wireName());
  }

  private void scheduleCheck(Duration delay) {
    timer.cancel();
    Duration atLeast = delay.isZero() ? Duration.ofMillis(1) : delay;
    timer = context.scheduler().schedule(atLeast, this::check);
  }
}
