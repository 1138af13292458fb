package org.galenapost.daemon.lifecycle;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.galenapost.daemon.log.EventLog;

/**
 * Takes a daemon out of service without aborting requests. It fails the readiness check, waits for
 * the load balancer to detect that, stops accepting connections, and waits for the requests in
 * flight up to a timeout.
 */
public final class DrainSequence {

  private static final EventLog LOG = EventLog.of(DrainSequence.class);

  private final DaemonState state;
  private final Duration readinessDelay;
  private final Duration drainTimeout;
  private final Runnable stopAccepting;
  private final Supplier<CompletionStage<Void>> whenIdle;
  private final IntSupplier inFlightCount;

  /**
   * Creates the sequence.
   *
   * @param state the state of the daemon, whose phase the sequence advances
   * @param readinessDelay how long requests are still accepted after the readiness check fails, so
   *     that the load balancer can detect it
   * @param drainTimeout the longest time that requests in flight may take to complete
   * @param stopAccepting closes the listening socket for callers
   * @param whenIdle returns a stage that completes once no request is in flight
   * @param inFlightCount returns the number of requests in flight
   */
  public DrainSequence(
      DaemonState state,
      Duration readinessDelay,
      Duration drainTimeout,
      Runnable stopAccepting,
      Supplier<CompletionStage<Void>> whenIdle,
      IntSupplier inFlightCount) {
    this.state = state;
    this.readinessDelay = readinessDelay;
    this.drainTimeout = drainTimeout;
    this.stopAccepting = stopAccepting;
    this.whenIdle = whenIdle;
    this.inFlightCount = inFlightCount;
  }

  /** Runs the sequence and blocks the calling thread until it ends. */
  public void run() {
    try {
      state.enter(DaemonPhase.LEAVING);
      Thread.sleep(readinessDelay.toMillis());
      stopAccepting.run();
      state.enter(DaemonPhase.DRAINING);
      awaitRequests();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitRequests() throws InterruptedException {
    try {
      whenIdle.get().toCompletableFuture().get(drainTimeout.toMillis(), TimeUnit.MILLISECONDS);
      LOG.info("drained").write();
    } catch (TimeoutException e) {
      LOG.warn("drain_limit_reached").with("requests_cut", inFlightCount.getAsInt()).write();
    } catch (ExecutionException e) {
      LOG.error("drain_failed").write(e);
    }
  }
}
