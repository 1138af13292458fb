package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import java.util.function.Consumer;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.loss.LossDecision;
import org.galenapost.core.loss.LossDetector;
import org.galenapost.core.loss.LossReason;
import org.galenapost.core.loss.LossSettings;
import org.galenapost.core.time.Scheduler;

/** Detects that the response to one send makes no progress. Used on one event loop. */
final class SilenceDetector {

  /**
   * A server is suspected after a pause of several events and probed on another connection, which a
   * live host accepts within a few round trips, so that a reader does not wait long for one that is
   * unreachable. A server whose host still accepts connections is lost after 4 s without progress,
   * or after 20 s before its first event, since an engine may queue a request.
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
  private final Consumer<LossReason> onLost;
  private Scheduler.Cancellable timer = () -> {};
  private boolean isStopped;
  private boolean isPaused;

  /**
   * Starts the detection.
   *
   * @param context the collaborators of all calls
   * @param instance the server
   * @param onLost run at most once, with the reason, when the server is considered lost
   */
  SilenceDetector(GatewayContext context, ServerInstance instance, Consumer<LossReason> onLost) {
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

  /** Records that the response made progress: a complete event, or a part of a whole answer. */
  void onProgress() {
    detector.onToken(context.clock().nanos());
  }

  /** Pauses the detection while the caller reads too slowly, or restarts it. */
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
    onLost.accept(lost.reason());
  }

  private void scheduleCheck(Duration delay) {
    timer.cancel();
    Duration positiveDelay = delay.isZero() ? Duration.ofMillis(1) : delay;
    timer = context.scheduler().schedule(positiveDelay, this::check);
  }
}
