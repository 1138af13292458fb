package org.galenapost.daemon.gateway;

import java.time.Duration;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.service.Service;

/**
 * Opens the caller listener once a configuration is in force, so that callers who connect while a
 * daemon starts wait a moment instead of being refused. After a bound it opens in any case, and
 * refusals say why.
 */
final class CallerGate implements Service {

  private static final Duration CHECK_PERIOD = Duration.ofMillis(10);

  /** Callers give a connection that is not read up after a second. */
  private static final Duration MAX_CONFIGURATION_WAIT = Duration.ofMillis(900);

  private final HttpListener listener;
  private final DaemonState state;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private long startNanos;
  private volatile boolean isRunning;

  CallerGate(HttpListener listener, DaemonState state, Scheduler scheduler, MonotonicClock clock) {
    this.listener = listener;
    this.state = state;
    this.scheduler = scheduler;
    this.clock = clock;
  }

  @Override
  public String name() {
    return "caller-gate";
  }

  @Override
  public void start() {
    isRunning = true;
    startNanos = clock.nanos();
    openWhenReady();
  }

  private void openWhenReady() {
    if (!isRunning) {
      return;
    }
    if (state.hasConfiguration() || clock.since(startNanos).compareTo(MAX_CONFIGURATION_WAIT) >= 0) {
      listener.startWithoutWaiting();
    } else {
      scheduler.schedule(CHECK_PERIOD, this::openWhenReady);
    }
  }

  @Override
  public void stop() {
    isRunning = false;
    listener.stop();
  }
}
