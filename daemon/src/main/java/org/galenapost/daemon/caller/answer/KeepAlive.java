package org.galenapost.daemon.caller.answer;

import java.time.Duration;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.caller.CallerResponse;

/** Sends a comment on a stream whenever it was silent for an interval. */
final class KeepAlive {

  private final CallerResponse response;
  private final EventStream stream;
  private final Scheduler scheduler;
  private final Duration interval;
  private volatile boolean hasSentSinceCheck;

  KeepAlive(CallerResponse response, EventStream stream, Scheduler scheduler, Duration interval) {
    this.response = response;
    this.stream = stream;
    this.scheduler = scheduler;
    this.interval = interval;
  }

  void start() {
    Scheduler.Cancellable next = scheduler.schedule(interval, this::check);
    response.onEnd(next::cancel);
  }

  void markEventSent() {
    hasSentSinceCheck = true;
  }

  private void check() {
    if (response.isEnded()) {
      return;
    }
    if (!hasSentSinceCheck && !stream.hasUnsent()) {
      stream.send(ServerSentEvent.keepAlive());
    }
    hasSentSinceCheck = false;
    scheduler.schedule(interval, this::check);
  }
}
