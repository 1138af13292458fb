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

/** Trusts the order of arrival: numbers tokens as they come and ignores the engine's offsets. */
final class ArrivalOrderEngineClient implements EngineClient {

  private final EngineClient shipped;

  ArrivalOrderEngineClient(EngineClient shipped) {
    this.shipped = shipped;
  }

  @Override
  public EngineCall start(
      BackendServer server, CompletionBody body, AttemptId attempt, EngineListener listener) {
    return shipped.start(server, body, attempt, new Renumbering(listener));
  }

  @Override
  public EngineCall attach(
      BackendServer server, AttemptId attempt, int fromOffset, EngineListener listener) {
    return shipped.attach(server, attempt, fromOffset, new Renumbering(listener));
  }

  @Override
  public void cancel(BackendServer server, AttemptId attempt) {
    shipped.cancel(server, attempt);
  }

  @Override
  public CompletionStage<Boolean> probe(BackendServer server, Duration timeout) {
    return shipped.probe(server, timeout);
  }

  private static final class Renumbering implements EngineListener {

    private static final int NONE_YET = -1;

    private final EngineListener reader;
    private int nextOffset = NONE_YET;

    Renumbering(EngineListener reader) {
      this.reader = reader;
    }

    @Override
    public void onEvent(EngineEvent event) {
      reader.onEvent(event instanceof EngineEvent.Token token ? renumber(token) : finish(event));
    }

    private EngineEvent renumber(EngineEvent.Token token) {
      if (nextOffset == NONE_YET) {
        nextOffset = token.offset();
      }
      int offset = nextOffset;
      nextOffset++;
      return new EngineEvent.Token(
          token.attempt(), offset, token.model(), token.version(), token.text());
    }

    private EngineEvent finish(EngineEvent event) {
      if (event instanceof EngineEvent.Finish finish && nextOffset != NONE_YET) {
        return new EngineEvent.Finish(
            finish.attempt(), nextOffset, finish.model(), finish.version(), finish.reason());
      }
      return event;
    }

    @Override
    public void onEnd(StreamEnd end) {
      reader.onEnd(end);
    }
  }
}
