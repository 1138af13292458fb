package org.galenapost.daemon.generation;

import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.loss.LossDetector;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.engine.EngineCall;

/** A running attempt of a generation, with its server, connection and loss detector. */
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
      Optional<ServerReservation> reservation,
      LossDetector detector,
      long startNanos) {
    this.id = id;
    this.server = server;
    this.reservation = reservation;
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

  /** Returns why the server was selected, or an empty text for an attached attempt. */
  String routeExplanation() {
    return reservation.map(reserved -> reserved.route().explanation()).orElse("");
  }

  boolean isIsolated() {
    return reservation.map(ServerReservation::isIsolated).orElse(false);
  }

  boolean hasEnded() {
    return hasEnded;
  }

  /** Returns whether this daemon attached to the attempt instead of starting it. */
  boolean isAdopted() {
    return reservation.isEmpty();
  }

  boolean isConfirmingLoss() {
    return isConfirmingLoss;
  }

  /** Marks that the connection is lost and a probe checks whether the server is down. */
  void startConfirmingLoss() {
    isConfirmingLoss = true;
    cancelTimer();
  }

  /**
   * Uses up the permission to attach again after a connection loss. Each token renews it.
   *
   * @return whether attaching again is permitted
   */
  boolean tryTakeReattach() {
    boolean isAllowed = mayReattach;
    mayReattach = false;
    isConfirmingLoss = !isAllowed;
    return isAllowed;
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
      reservation.ifPresent(reserved -> reserved.route().recordFirstAnswer(latency));
    }
    reservation.ifPresent(reserved -> reserved.onToken(nextOffset));
  }

  /** Keeps the claim on the lost server, as evidence against the request. */
  void onServerLost() {
    reservation.ifPresent(ServerReservation::keepClaim);
  }

  /**
   * Ends the attempt after its last token. The connection stays open to receive the end of the
   * stream, and is closed after a timeout.
   */
  void succeeded(Scheduler scheduler) {
    call.ifPresent(open -> scheduler.schedule(STREAM_END_TIMEOUT, open::close));
    call = Optional.empty();
    end();
    reservation.ifPresent(reserved -> reserved.route().succeeded());
  }

  void failed() {
    end();
    reservation.ifPresent(reserved -> reserved.route().failed());
  }

  void cancelled() {
    end();
    reservation.ifPresent(reserved -> reserved.route().cancelled());
  }

  private void end() {
    hasEnded = true;
    cancelTimer();
    call.ifPresent(EngineCall::close);
    reservation.ifPresent(ServerReservation::releasePrefillSlot);
    reservation.ifPresent(ServerReservation::releaseClaim);
  }
}
