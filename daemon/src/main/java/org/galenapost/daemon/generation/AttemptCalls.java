package org.galenapost.daemon.generation;

import java.util.Optional;
import org.galenapost.core.directory.DirectoryEntry;
import org.galenapost.core.directory.DirectoryKey;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.AttemptStart;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.loss.LossDetector;
import org.galenapost.core.recovery.StartCause;
import org.galenapost.daemon.engine.CompletionBody;
import org.galenapost.daemon.engine.EngineCall;
import org.galenapost.daemon.engine.EngineListener;

/** Makes the calls to engines of one generation and tells trace, counters and directory of them. */
final class AttemptCalls {

  private final GenerationContext context;
  private final GenerationRequest request;
  private final AnswerWriter answer;
  private final ServerPaces paces;

  AttemptCalls(
      GenerationContext context, GenerationRequest request, AnswerWriter reader, ServerPaces paces) {
    this.context = context;
    this.request = request;
    this.answer = reader;
    this.paces = paces;
  }

  /** Returns a new attempt with its own detector; nothing is sent yet. */
  LiveAttempt newAttempt(AttemptId id, BackendServer server, Optional<ServerReservation> place) {
    long now = context.clock().nanos();
    LossDetector detector =
        new LossDetector(
            context.mechanisms().loss(),
            paces.of(server.id()),
            context.mechanisms().stallGuard(),
            now);
    return new LiveAttempt(id, server, place, detector, now);
  }

  /** Starts or continues the generation on the attempt's server. */
  EngineCall start(
      LiveAttempt live, AttemptStart start, StartCause cause, EngineListener listener) {
    context.observer().onStart(cause);
    int from = start.accepted().size();
    answer.recordDecision(
        cause == StartCause.HEDGE ? DecisionKind.HEDGED : DecisionKind.ATTEMPT_STARTED,
        "%s on %s, %s from offset %d: %s"
            .formatted(live.id(), live.server().id(), cause.wireName(), from, live.routeExplanation()));
    publish(live, start.pin().seed());
    answer.markSentToEngine();
    CompletionBody body =
        CompletionBody.of(request, start, cause.isResume(), context.detachedRetention().toMillis());
    return context.engines().start(live.server(), body, live.id(), listener);
  }

  /** Attaches to the attempt on the server that runs it. */
  EngineCall attach(LiveAttempt live, int fromOffset, long seed, EngineListener listener) {
    context.observer().onAttach();
    answer.recordDecision(
        DecisionKind.ATTACHED,
        "%s on %s from offset %d".formatted(live.id(), live.server().id(), fromOffset));
    publish(live, seed);
    answer.markSentToEngine();
    return context.engines().attach(live.server(), live.id(), fromOffset, listener);
  }

  /** Cancels the attempt on its server. */
  void cancel(LiveAttempt live) {
    context.engines().cancel(live.server(), live.id());
  }

  private void publish(LiveAttempt live, long seed) {
    if (request.isKeyed()) {
      context
          .directory()
          .publish(
              new DirectoryKey(request.workspace(), request.generationId()),
              new DirectoryEntry(live.id(), live.server().id(), seed));
    }
  }
}
