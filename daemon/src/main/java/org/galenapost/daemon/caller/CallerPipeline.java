package org.galenapost.daemon.caller;

import java.time.InstantSource;
import java.util.function.Consumer;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.http.PipelineSetup;
import org.galenapost.daemon.lifecycle.DaemonState;

/** Sets up the channel pipelines of callers' connections. */
public final class CallerPipeline {

  private CallerPipeline() {}

  /**
   * Returns a setup that passes each request of a connection through a filter chain.
   *
   * @param chain the filters
   * @param clock the monotonic clock
   * @param time the wall clock
   * @param state the daemon's phase; a request that begins while it drains is the last of its
   *     connection
   * @param onUnreadable is notified of each refusal of input that could not be read as a request
   */
  public static PipelineSetup serving(
      FilterChain chain,
      MonotonicClock clock,
      InstantSource time,
      DaemonState state,
      Consumer<Refusal> onUnreadable) {
    return pipeline ->
        pipeline.addLast("caller", new CallerHandler(chain, clock, time, state, onUnreadable));
  }
}
