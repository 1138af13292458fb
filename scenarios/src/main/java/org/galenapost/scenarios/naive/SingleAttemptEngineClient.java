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

/** Fails every further attempt and every reattach, so a generation ends when its stream breaks. */
final class SingleAttemptEngineClient implements EngineClient {

  private static final int FIRST_ATTEMPT = 1;

  private final EngineClient delegate;

  SingleAttemptEngineClient(EngineClient delegate) {
    this.delegate = delegate;
  }

  @Override
  public EngineCall start(
      BackendServer server, CompletionBody body, AttemptId attempt, EngineListener listener) {
    return attempt.number() == FIRST_ATTEMPT
        ? delegate.start(server, body, attempt, listener)
        : fail(listener);
  }

  @Override
  public EngineCall attach(
      BackendServer server, AttemptId attempt, int fromOffset, EngineListener listener) {
    return fail(listener);
  }

  private static EngineCall fail(EngineListener listener) {
    listener.onEnd(StreamEnd.ERROR);
    return new EndedCall();
  }

  @Override
  public void cancel(BackendServer server, AttemptId attempt) {
    delegate.cancel(server, attempt);
  }

  @Override
  public CompletionStage<Boolean> probe(BackendServer server, Duration timeout) {
    return delegate.probe(server, timeout);
  }

  private static final class EndedCall implements EngineCall {

    @Override
    public void pause() {
      // The call has no stream to read.
    }

    @Override
    public void resume() {
      // The call has no stream to read.
    }

    @Override
    public void close() {
      // The call holds no connection.
    }
  }
}
