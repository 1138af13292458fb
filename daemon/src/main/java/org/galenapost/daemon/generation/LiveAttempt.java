package org.galenapost.daemon.generation;

import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.loss.LossDetector;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.engine.EngineCall;

/** One attempt at a generation with its server, its connection and its detector. */
final class LiveAttempt {

  private static final Duration STREAM_END_TIMEOUT = Duration.ofSeconds(5);

  private final AttemptId id;
  private final BackendServer server;
  private final Optional<ServerReservation> reservation;
  private final LossDetector detector;
  private final long startNanos;
  private Optional<EngineCall> call = Optional.empty();
  private Optional<Scheduler.Cancellable> timer = Optional.empty();
  private boolean hasEnded;
  private boolean isConfirmingLoss;
  private boolean hasProgress;
  private boolean mayReattach = true;

  LiveAttempt(
      AttemptId id,
      BackendServer server,
      Optional<ServerReservation> place,
      LossDetector detector,
      long startNanos) {
    this.id = id;
    this.server = server;
    this.reservation = place;
    this.detector = detector;
    this.startNanos = startNanos;
  }

  AttemptId id() {
    return id;
  }

  BackendServer server() {
    return server;
  }

  LossDetector detector() {
    return detector;
  }

  /** Returns why its server was chosen. */
  String routeExplanation() {
    return reservation.map(held -> held.route().explanation()).orElse("");
  }

  boolean isIsolated() {
    return reservation.map(ServerReservation::isIsolated).orElse(false);
  }

  boolean hasEnded() {
    return hasEnded;
  }

  /** Returns whether it was attached to, rather than started by this daemon. */
  boolean isAdopted() {
    return reservation.isEmpty();
  }

  boolean isConfirmingLoss() {
    return isConfirmingLoss;
  }

  /** Notes that its connection is gone and its server is being asked. */
  void startConfirmingLoss() {
    isConfirmingLoss = true;
    cancelTimer();
  }

  /** Takes the right to attach again, which each stretch of progress renews. */
  boolean tryTakeReattach() {
    boolean allowed = mayReattach;
    mayReattach = false;
    isConfirmingLoss = !allowed;
    return allowed;
  }

  void setCall(EngineCall opened) {
    if (hasEnded) {
      opened.close();
      return;
    }
    call = Optional.of(opened);
  }

  void pauseReading() {
    call.ifPresent(EngineCall::pause);
  }

  void resumeReading(long nowNanos) {
    detector.onReadingResumed(nowNanos);
    call.ifPresent(EngineCall::resume);
  }

  void scheduleCheck(Scheduler scheduler, Duration delay, Runnable task) {
    cancelTimer();
    if (!hasEnded) {
      timer = Optional.of(scheduler.schedule(delay, task));
    }
  }

  private void cancelTimer() {
    timer.ifPresent(Scheduler.Cancellable::cancel);
    timer = Optional.empty();
  }

  void onToken(long nowNanos, int nextOffset) {
    detector.onToken(nowNanos);
    mayReattach = true;
    if (!hasProgress) {
      hasProgress = true;
      Duration latency = Duration.ofNanos(nowNanos - startNanos);
      reservation.ifPresent(held -> held.route().recordFirstAnswer(latency));
    }
    reservation.ifPresent(held -> held.onToken(nextOffset));
  }

  /** Notes that its server died; the claim on it stands as evidence. */
  void onServerLost() {
    reservation.ifPresent(ServerReservation::keepClaim);
  }

  /** Ends it after its last token; the connection may still bring the end of the stream. */
  void succeeded(Scheduler scheduler) {
    call.ifPresent(open -> scheduler.schedule(STREAM_END_TIMEOUT, open::close));
    call = Optional.empty();
    end();
    reservation.ifPresent(held -> held.route().succeeded());
  }

  void failed() {
    end();
    reservation.ifPresent(held -> held.route().failed());
  }

  void cancelled() {
    end();
    reservation.ifPresent(held -> held.route().cancelled());
  }

  private void end() {
    hasEnded = true;
    cancelTimer();
    call.ifPresent(EngineCall::close);
    reservation.ifPresent(ServerReservation::releasePrefillSlot);
    reservation.ifPresent(ServerReservation::releaseClaim);
  }
}
