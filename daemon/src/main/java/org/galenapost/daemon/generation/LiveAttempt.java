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

  private static final Duration STREAM_END_LIMIT = Duration.ofSeconds(5);

  private final AttemptId id;
  private final BackendServer server;
  private final Optional<Place> place;
  private final LossDetector detector;
  private final long startNanos;
  private Optional<EngineCall> call = Optional.empty();
  private Optional<Scheduler.Cancellable> timer = Optional.empty();
  private boolean isOver;
  private boolean isConfirming;
  private boolean hasProgress;
  private boolean mayReattach = true;

  LiveAttempt(
      AttemptId id,
      BackendServer server,
      Optional<Place> place,
      LossDetector detector,
      long startNanos) {
    this.id = id;
    this.server = server;
    this.place = place;
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
  String explanation() {
    return place.map(held -> held.route().explanation()).orElse("");
  }

  boolean isIsolated() {
    return place.map(Place::isIsolated).orElse(false);
  }

  boolean isOver() {
    return isOver;
  }

  /** Returns whether it was attached to, rather than started by this daemon. */
  boolean isAdopted() {
    return place.isEmpty();
  }

  boolean isConfirming() {
    return isConfirming;
  }

  /** Notes that its connection is gone and its server is being asked. */
  void confirming() {
    isConfirming = true;
    stopTimer();
  }

  /** Takes the right to attach again, which each stretch of progress renews. */
  boolean takeReattach() {
    boolean allowed = mayReattach;
    mayReattach = false;
    isConfirming = !allowed;
    return allowed;
  }

  void use(EngineCall opened) {
    if (isOver) {
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

  void arm(Scheduler scheduler, Duration delay, Runnable task) {
    stopTimer();
    if (!isOver) {
      timer = Optional.of(scheduler.schedule(delay, task));
    }
  }

  private void stopTimer() {
    timer.ifPresent(Scheduler.Cancellable::cancel);
    timer = Optional.empty();
  }

  void onToken(long nowNanos, int nextOffset) {
    detector.onToken(nowNanos);
    mayReattach = true;
    if (!hasProgress) {
      hasProgress = true;
      Duration latency = Duration.ofNanos(nowNanos - startNanos);
      place.ifPresent(held -> held.route().recordFirstAnswer(latency));
    }
    place.ifPresent(held -> held.onToken(nextOffset));
  }

  /** Notes that its server died; the claim on it stands as evidence. */
  void serverDied() {
    place.ifPresent(Place::keepClaim);
  }

  /** Ends it after its last token; the connection may still bring the end of the stream. */
  void succeeded(Scheduler scheduler) {
    call.ifPresent(open -> scheduler.schedule(STREAM_END_LIMIT, open::close));
    call = Optional.empty();
    end();
    place.ifPresent(held -> held.route().succeeded());
  }

  void failed() {
    end();
    place.ifPresent(held -> held.route().failed());
  }

  void cancelled() {
    end();
    place.ifPresent(held -> held.route().cancelled());
  }

  private void end() {
    isOver = true;
    stopTimer();
    call.ifPresent(EngineCall::close);
    place.ifPresent(Place::endPrefill);
    place.ifPresent(Place::endIsolation);
  }
}
