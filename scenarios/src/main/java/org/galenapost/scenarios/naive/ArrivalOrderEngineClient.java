package org.galenapost.scenarios.naive;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.EngineEvent;
import org.galenapost.daemon.engine.CompletionBody;
import org.galenapost.daemon.engine.EngineCall;
import org.galenapost.daemon.engine.EngineClient;
import org.galenapost.daemon.engine.EngineListener;
import org.galenapost.daemon.engine.StreamEnd;

/** Numbers tokens in the order of their arrival and ignores the offsets that the engine sends. */
final class ArrivalOrderEngineClient implements EngineClient {

  private final EngineClient delegate;

  ArrivalOrderEngineClient(EngineClient delegate) {
    this.delegate = delegate;
  }

  @Override
  public EngineCall start(
      BackendServer server, CompletionBody body, AttemptId attempt, EngineListener listener) {
    return delegate.start(server, body, attempt, new RenumberingListener(listener));
  }

  @Override
  public EngineCall attach(
      BackendServer server, AttemptId attempt, int fromOffset, EngineListener listener) {
    return delegate.attach(server, attempt, fromOffset, new RenumberingListener(listener));
  }

  @Override
  public void cancel(BackendServer server, AttemptId attempt) {
    delegate.cancel(server, attempt);
  }

  @Override
  public CompletionStage<Boolean> probe(BackendServer server, Duration timeout) {
    return delegate.probe(server, timeout);
  }

  private static final class RenumberingListener implements EngineListener {

    private static final int UNSET = -1;

    private final EngineListener delegate;
    private int nextOffset = UNSET;

    RenumberingListener(EngineListener delegate) {
      this.delegate = delegate;
    }

    @Override
    public void onEvent(EngineEvent event) {
      delegate.onEvent(
          event instanceof EngineEvent.Token token ? renumberToken(token) : renumberFinish(event));
    }

    private EngineEvent renumberToken(EngineEvent.Token token) {
      if (nextOffset == UNSET) {
        nextOffset = token.offset();
      }
      int offset = nextOffset;
      nextOffset++;
      return new EngineEvent.Token(
          token.attempt(), offset, token.model(), token.version(), token.text());
    }

    private EngineEvent renumberFinish(EngineEvent event) {
      if (event instanceof EngineEvent.Finish finish && nextOffset != UNSET) {
        return new EngineEvent.Finish(
            finish.attempt(), nextOffset, finish.model(), finish.version(), finish.reason());
      }
      return event;
    }

    @Override
    public void onEnd(StreamEnd end) {
      delegate.onEnd(end);
    }
  }
}
