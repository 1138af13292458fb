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
 * Takes a daemon out of service without cutting a request: it reports that it is not ready, waits
 * for the balancer, stops listening, and waits for the requests in progress.
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
   * @param state the daemon's phase
   * @param notice how long the balancer may take to notice
   * @param limit how long requests may take to finish
   * @param stopAccepting closes the caller listener
   * @param whenEmpty returns a stage that completes once no request is in progress
   * @param inProgress returns the number of requests in progress
   */
  public DrainSequence(
      DaemonState state,
      Duration notice,
      Duration limit,
      Runnable stopAccepting,
      Supplier<CompletionStage<Void>> whenEmpty,
      IntSupplier inProgress) {
    this.state = state;
    this.readinessDelay = notice;
    this.drainTimeout = limit;
    this.stopAccepting = stopAccepting;
    this.whenIdle = whenEmpty;
    this.inFlightCount = inProgress;
  }

  /** Runs the sequence in the calling thread. */
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
