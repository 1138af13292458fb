package org.galenapost.daemon.engine;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;

/** Client of the HTTP protocol of model engines. */
public interface EngineClient {

  /**
   * Starts or resumes a generation and streams its tokens.
   *
   * @param server the engine to call
   * @param body the request body
   * @param attempt the attempt that every chunk is expected to name
   * @param listener receives the chunks and the end of the stream
   */
  EngineCall start(
      BackendServer server, CompletionBody body, AttemptId attempt, EngineListener listener);

  /**
   * Attaches to a running attempt and streams its tokens.
   *
   * @param server the engine to call
   * @param attempt the attempt to attach to
   * @param fromOffset the offset of the first token to stream
   * @param listener receives the chunks and the end of the stream
   */
  EngineCall attach(
      BackendServer server, AttemptId attempt, int fromOffset, EngineListener listener);

  /** Cancels an attempt on an engine. The result of the call is not reported. */
  void cancel(BackendServer server, AttemptId attempt);

  /**
   * Probes the health of an engine on a separate connection.
   *
   * @param server the engine to probe
   * @param timeout the time after which the probe counts as failed
   * @return a stage that completes with whether the engine is healthy, and never exceptionally
   */
  CompletionStage<Boolean> probe(BackendServer server, Duration timeout);
}
