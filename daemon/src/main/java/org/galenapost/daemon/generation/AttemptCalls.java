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

/** Makes the engine calls of one generation and records them in trace, metrics and directory. */
final class AttemptCalls {

  private final GenerationContext context;
  private final GenerationRequest request;
  private final AnswerWriter answer;
  private final ServerPaces paces;

  AttemptCalls(
      GenerationContext context,
      GenerationRequest request,
      AnswerWriter answer,
      ServerPaces paces) {
    this.context = context;
    this.request = request;
    this.answer = answer;
    this.paces = paces;
  }

  /** Creates an attempt with its own loss detector, without calling the engine. */
  LiveAttempt newAttempt(
      AttemptId id, BackendServer server, Optional<ServerReservation> reservation) {
    long now = context.clock().nanos();
    LossDetector detector =
        new LossDetector(
            context.mechanisms().loss(),
            paces.of(server.id()),
            context.mechanisms().stallGuard(),
            now);
    return new LiveAttempt(id, server, reservation, detector, now);
  }

  /** Starts or resumes the generation on the server of the attempt. */
  EngineCall start(
      LiveAttempt attempt, AttemptStart start, StartCause cause, EngineListener listener) {
    context.observer().onStart(cause);
    int from = start.accepted().size();
    answer.recordDecision(
        cause == StartCause.HEDGE ? DecisionKind.HEDGED : DecisionKind.ATTEMPT_STARTED,
        "%s on %s, %s from offset %d: %s"
            .formatted(
                attempt.id(),
                attempt.server().id(),
                cause.wireName(),
                from,
                attempt.routeExplanation()));
    publish(attempt, start.pin().seed());
    answer.markSentToEngine();
    CompletionBody body =
        CompletionBody.of(request, start, cause.isResume(), context.detachedRetention().toMillis());
    return context.engines().start(attempt.server(), body, attempt.id(), listener);
  }

  /** Attaches to an attempt on the server that runs it. */
  EngineCall attach(LiveAttempt attempt, int fromOffset, long seed, EngineListener listener) {
    context.observer().onAttach();
    answer.recordDecision(
        DecisionKind.ATTACHED,
        "%s on %s from offset %d".formatted(attempt.id(), attempt.server().id(), fromOffset));
    publish(attempt, seed);
    answer.markSentToEngine();
    return context.engines().attach(attempt.server(), attempt.id(), fromOffset, listener);
  }

  /** Cancels an attempt on its server. */
  void cancel(LiveAttempt attempt) {
    context.engines().cancel(attempt.server(), attempt.id());
  }

  private void publish(LiveAttempt attempt, long seed) {
    if (request.isKeyed()) {
      context
          .directory()
          .publish(
              new DirectoryKey(request.workspace(), request.generationId()),
              new DirectoryEntry(attempt.id(), attempt.server().id(), seed));
    }
  }
}
