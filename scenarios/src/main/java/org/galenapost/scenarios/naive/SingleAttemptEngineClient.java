package org.galenapost.scenarios.naive;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.daemon.engine.CompletionBody;
import org.galenapost.daemon.engine.EngineCall;
import org.galenapost.daemon.engine.EngineClient;
import org.galenapost.daemon.engine.EngineListener;
import org.galenapost.daemon.engine.StreamEnd;

/** Runs the first attempt at a generation and gives up when its stream breaks. */
final class SingleAttemptEngineClient implements EngineClient {

  private static final int FIRST = 1;

  private final EngineClient shipped;

  SingleAttemptEngineClient(EngineClient shipped) {
    this.shipped = shipped;
  }

  @Override
  public EngineCall start(
      BackendServer server, CompletionBody body, AttemptId attempt, EngineListener listener) {
    return attempt.number() == FIRST
        ? shipped.start(server, body, attempt, listener)
        : ended(listener);
  }

  @Override
  public EngineCall attach(
      BackendServer server, AttemptId attempt, int fromOffset, EngineListener listener) {
    return ended(listener);
  }

  private static EngineCall ended(EngineListener listener) {
    listener.onEnd(StreamEnd.ERROR);
    return new EndedCall();
  }

  @Override
  public void cancel(BackendServer server, AttemptId attempt) {
    shipped.cancel(server, attempt);
  }

  @Override
  public CompletionStage<Boolean> probe(BackendServer server, Duration timeout) {
    return shipped.probe(server, timeout);
  }

  private static final class EndedCall implements EngineCall {

    @Override
    public void pause() {
      // Nothing is read.
    }

    @Override
    public void resume() {
      // Nothing is left to read.
    }

    @Override
    public void close() {
      // Nothing is open.
    }
  }
}
