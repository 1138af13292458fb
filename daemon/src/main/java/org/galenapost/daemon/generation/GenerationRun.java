package org.galenapost.daemon.generation;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.AttemptStart;
import org.galenapost.core.generation.EngineEvent;
import org.galenapost.core.generation.GenerationHandle;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.generation.RollingHash;
import org.galenapost.core.generation.StreamOutcome;
import org.galenapost.core.generation.StreamState;
import org.galenapost.core.loss.LossReason;
import org.galenapost.core.profile.RerunPolicy;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.recovery.RecoveryAction;
import org.galenapost.core.recovery.RecoveryPlanner;
import org.galenapost.core.recovery.StartCause;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.engine.EngineCall;
import org.galenapost.daemon.engine.EngineListener;
import org.galenapost.daemon.engine.StreamEnd;

/**
 * Runs one generation for one reader over any number of attempts. Every entry point takes the lock
 * of the run. The lock of another run is never taken while it is held.
 */
final class GenerationRun implements GenerationHandle, AttemptMonitor.Listener {

  private final GenerationContext context;
  private final GenerationRequest request;
  private final RequestDigest digest;
  private final AnswerWriter answer;
  private final RecoveryPlanner planner;
  private final AttemptCalls calls;
  private final AttemptMonitor monitor;
  private final Map<AttemptId, LiveAttempt> attempts = new HashMap<>();
  private final Set<String> lostServerIds = new HashSet<>();
  private final Scheduler.Cancellable deadline;
  private StreamState state;
  private Optional<ServerSearch> search = Optional.empty();
  private boolean isReadingPaused;

  GenerationRun(
      GenerationContext context,
      GenerationRequest request,
      RequestDigest digest,
      AnswerWriter answer,
      StreamState state,
      ServerPaces paces,
      ServerProbes probes) {
    this.context = context;
    this.request = request;
    this.digest = digest;
    this.answer = answer;
    this.state = state;
    this.calls = new AttemptCalls(context, request, answer, paces);
    this.monitor = new AttemptMonitor(context, probes, this::runLocked, this);
    this.planner =
        new RecoveryPlanner(
            request.profile().recovery(),
            request.workspace(),
            context.retryAllowance(),
            answer.hasText());
    long remainingNanos = request.deadlineNanos() - context.clock().nanos();
    Duration remaining = Duration.ofNanos(Math.max(0, remainingNanos));
    this.deadline = context.scheduler().schedule(remaining, this::onDeadline);
  }

  /** Starts the first attempt of a new generation. */
  synchronized void startFirstAttempt() {
    startAttempt(StartCause.FIRST);
  }

  /** Attaches to a running attempt, or reruns the generation if the attempt is gone. */
  synchronized void attachOrRerun(AttemptId attempt, String serverId) {
    answer.markAwaitingResume();
    Optional<BackendServer> server = context.serverLookup().apply(serverId);
    if (server.isEmpty()) {
      answer.recordDecision(DecisionKind.ATTEMPT_LOST, "server " + serverId + " is not known");
      startAttempt(StartCause.RERUN);
      return;
    }
    state.adopt(attempt);
    attach(register(attempt, server.get(), Optional.empty()));
  }

  private void startAttempt(StartCause cause) {
    if (answer.hasEnded() || search.isPresent()) {
      return;
    }
    ServerSearch newSearch =
        new ServerSearch(
            context,
            digest,
            cause,
            RouteRequests.of(request, state, lostServerIds, cause),
            this::runLocked,
            reservation -> launch(reservation, cause),
            this::onNoServer);
    search = Optional.of(newSearch);
    newSearch.tryReserve();
  }

  private synchronized void runLocked(Runnable action) {
    action.run();
  }

  private void launch(ServerReservation reservation, StartCause cause) {
    search = Optional.empty();
    AttemptStart start = state.startAttempt();
    LiveAttempt attempt =
        register(start.attempt(), reservation.route().server(), Optional.of(reservation));
    useCall(attempt, calls.start(attempt, start, cause, listener(attempt)));
  }

  private LiveAttempt register(
      AttemptId id, BackendServer server, Optional<ServerReservation> reservation) {
    planner.onStart();
    LiveAttempt attempt = calls.newAttempt(id, server, reservation);
    attempts.put(id, attempt);
    monitor.check(attempt);
    return attempt;
  }

  private void attach(LiveAttempt attempt) {
    long seed = state.pin().seed();
    useCall(attempt, calls.attach(attempt, state.nextOffset(), seed, listener(attempt)));
  }

  private void useCall(LiveAttempt attempt, EngineCall call) {
    attempt.setCall(call);
    if (isReadingPaused) {
      attempt.pauseReading();
    }
  }

  private EngineListener listener(LiveAttempt attempt) {
    return new EngineListener() {
      @Override
      public void onEvent(EngineEvent event) {
        GenerationRun.this.onEvent(attempt, event);
      }

      @Override
      public void onEnd(StreamEnd end) {
        GenerationRun.this.onEnd(attempt, end);
      }
    };
  }

  private synchronized void onEvent(LiveAttempt attempt, EngineEvent event) {
    if (answer.hasEnded() || attempt.hasEnded()) {
      return;
    }
    StreamOutcome outcome = state.apply(event);
    if (outcome instanceof StreamOutcome.Accepted accepted) {
      recordProgress(attempt, accepted.losers());
      deliver(attempt, accepted.offset(), accepted.text(), accepted.hash());
    } else if (outcome instanceof StreamOutcome.Withheld withheld) {
      recordProgress(attempt, withheld.losers());
    } else if (outcome instanceof StreamOutcome.Finished finished) {
      cancelLosers(finished.losers());
      finish(attempt, finished.reason());
    } else if (outcome instanceof StreamOutcome.Diverged diverged) {
      recordProgress(attempt, diverged.losers());
      handleDivergence(attempt, diverged);
    } else if (outcome instanceof StreamOutcome.AttemptEnded ended) {
      context.observer().onInvalidChunk(ended.reason());
      endLostAttempt(attempt, LossReason.ENGINE_ERROR, ended.reason().wireName());
    } else if (outcome instanceof StreamOutcome.Fenced) {
      context.observer().onFencedChunk();
    }
  }

  private void recordProgress(LiveAttempt attempt, List<AttemptId> losers) {
    long now = context.clock().nanos();
    boolean isFirst = !attempt.detector().isStreaming();
    attempt.onToken(now, state.nextOffset());
    if (isFirst) {
      monitor.check(attempt);
    }
    planner.onProgress();
    search.ifPresent(ServerSearch::cancel);
    search = Optional.empty();
    cancelLosers(losers);
  }

  private void cancelLosers(List<AttemptId> losers) {
    for (AttemptId id : losers) {
      LiveAttempt loser = attempts.remove(id);
      answer.recordDecision(DecisionKind.ATTEMPT_FENCED, id + " came second");
      calls.cancel(loser);
      loser.cancelled();
    }
  }

  private void deliver(LiveAttempt attempt, int offset, String text, RollingHash hash) {
    answer.writeToken(attempt, state, offset, text, hash);
    if (!isReadingPaused && !answer.isWritable()) {
      isReadingPaused = true;
      monitor.setReadingPaused(true);
      answer.recordDecision(DecisionKind.READER_SLOW, "paused after offset " + offset);
      attempts.values().forEach(LiveAttempt::pauseReading);
    }
  }

  private void finish(LiveAttempt attempt, String reason) {
    attempts.remove(attempt.id());
    attempt.succeeded(context.scheduler());
    context.mechanisms().requestGuard().onSuccess(digest);
    answer.finish(reason);
    close();
  }

  private void handleDivergence(LiveAttempt attempt, StreamOutcome.Diverged diverged) {
    context.observer().onDiverged();
    if (request.profile().rerun() == RerunPolicy.ERROR) {
      refuse(
          Refusal.mayHaveRun(
              RefusalReason.NEW_GENERATION_REFUSED,
              "the text cannot be continued: the repeated run differs from what was delivered"));
      return;
    }
    String newId = context.generationIds().get();
    state.continueAsNewGeneration(newId);
    answer.startNewGeneration(newId);
    RollingHash hash = RollingHash.EMPTY;
    for (int i = 0; i < diverged.tokens().size(); i++) {
      hash = hash.append(diverged.tokens().get(i));
      deliver(attempt, i, diverged.tokens().get(i), hash);
    }
    diverged.finishReason().ifPresent(reason -> finish(attempt, reason));
  }

  private synchronized void onEnd(LiveAttempt attempt, StreamEnd end) {
    if (answer.hasEnded() || attempt.hasEnded() || attempt.isConfirmingLoss()) {
      return;
    }
    if (end == StreamEnd.RESET) {
      monitor.onConnectionReset(attempt);
    } else if (end == StreamEnd.NOT_FOUND && attempt.isAdopted()) {
      attempts.remove(attempt.id());
      state.endAttempt(attempt.id());
      attempt.cancelled();
      answer.recordDecision(DecisionKind.ATTEMPT_LOST, attempt.id() + " is no longer kept");
      startAttempt(StartCause.RERUN);
    } else {
      endLostAttempt(attempt, lossReasonOf(end), end.wireName());
    }
  }

  private static LossReason lossReasonOf(StreamEnd end) {
    return switch (end) {
      case UNREACHABLE -> LossReason.UNREACHABLE;
      case BUSY -> LossReason.BUSY;
      default -> LossReason.ENGINE_ERROR;
    };
  }

  @Override
  public void onDisconnected(LiveAttempt attempt) {
    answer.markAwaitingResume();
    attach(attempt);
  }

  @Override
  public void onSuspicious(LiveAttempt attempt) {
    answer.recordDecision(
        DecisionKind.ATTEMPT_SILENT, attempt.id() + " on " + attempt.server().id());
    if (attempt.isIsolated()) {
      return;
    }
    RecoveryAction action =
        planner.onSuspicion(state.liveAttemptCount(), attempt.detector().isStreaming());
    if (action instanceof RecoveryAction.StartElsewhere elsewhere) {
      answer.markAwaitingResume();
      lostServerIds.add(attempt.server().id());
      startAttempt(elsewhere.cause());
    }
  }

  @Override
  public void onLost(LiveAttempt attempt, AttemptMonitor.Loss loss) {
    if (loss.isServerDown()) {
      boolean isEarly = !attempt.detector().isStreaming();
      RequestGuard guard = context.mechanisms().requestGuard();
      guard.onServerLost(attempt.server().id(), digest, state.nextOffset(), isEarly);
      attempt.onServerLost();
    }
    endLostAttempt(attempt, loss.reason(), loss.detail());
  }

  private void endLostAttempt(LiveAttempt attempt, LossReason reason, String detail) {
    attempts.remove(attempt.id());
    state.endAttempt(attempt.id());
    lostServerIds.add(attempt.server().id());
    context.observer().onLoss(reason);
    answer.recordDecision(
        DecisionKind.ATTEMPT_LOST, attempt.id() + " on " + attempt.server().id() + ": " + detail);
    if (reason.mayStillRun()) {
      calls.cancel(attempt);
    }
    if (reason.isServerFault()) {
      attempt.failed();
    } else {
      attempt.cancelled();
    }
    answer.markAwaitingResume();
    recover();
  }

  private void recover() {
    if (search.isPresent()) {
      return;
    }
    RecoveryAction action = planner.onLoss(state.liveAttemptCount());
    if (action instanceof RecoveryAction.Fail failure) {
      refuse(Refusal.mayHaveRun(failure.reason(), "the generation lost its servers too often"));
    } else if (action instanceof RecoveryAction.StartElsewhere elsewhere) {
      if (context.mechanisms().continuation() == Continuation.FROM_START) {
        state = state.restarted();
      }
      startAttempt(elsewhere.cause());
    }
  }

  private void onNoServer(Refusal refusal) {
    search = Optional.empty();
    if (state.liveAttemptCount() > 0) {
      return;
    }
    boolean mayStartNewGeneration =
        state.isReplaying()
            && state.nextOffset() == 0
            && refusal.reason() == RefusalReason.NO_SERVER
            && state.pin().version().isPresent()
            && request.profile().rerun() == RerunPolicy.NEW_GENERATION;
    if (!mayStartNewGeneration) {
      refuse(refusal);
      return;
    }
    String newId = context.generationIds().get();
    state = StreamState.fresh(newId, state.pin().withoutVersion());
    answer.startNewGeneration(newId);
    startAttempt(StartCause.RERUN);
  }

  private synchronized void onDeadline() {
    if (!answer.hasEnded()) {
      refuse(
          Refusal.mayHaveRun(
              RefusalReason.DEADLINE_EXCEEDED, "the answer was not complete by the deadline"));
    }
  }

  /** Ends the answer with a refusal and cancels all running attempts. */
  private void refuse(Refusal refusal) {
    answer.recordDecision(
        DecisionKind.REFUSED, refusal.reason().wireName() + ": " + refusal.detail());
    attempts.values().forEach(calls::cancel);
    answer.refuse(refusal);
    close();
  }

  @Override
  public synchronized void cancel() {
    if (!answer.hasEnded()) {
      answer.recordDecision(DecisionKind.READER_GONE, "engines keep the generation for a while");
      answer.detach();
      close();
    }
  }

  private void close() {
    deadline.cancel();
    search.ifPresent(ServerSearch::cancel);
    search = Optional.empty();
    attempts.values().forEach(LiveAttempt::cancelled);
    attempts.clear();
  }

  @Override
  public synchronized void onWritable() {
    if (isReadingPaused && !answer.hasEnded()) {
      isReadingPaused = false;
      monitor.setReadingPaused(false);
      long now = context.clock().nanos();
      attempts.values().forEach(attempt -> attempt.resumeReading(now));
    }
  }
}
