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
 * Runs one generation for one reader over any number of attempts. Every entry takes the lock of the
 * run; no lock of another run is ever taken under it.
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
      AnswerWriter reader,
      StreamState state,
      ServerPaces paces,
      ServerProbes probes) {
    this.context = context;
    this.request = request;
    this.digest = digest;
    this.answer = reader;
    this.state = state;
    this.calls = new AttemptCalls(context, request, reader, paces);
    this.monitor = new AttemptMonitor(context, probes, this::runLocked, this);
    this.planner =
        new RecoveryPlanner(
            request.profile().recovery(),
            request.workspace(),
            context.retryAllowance(),
            reader.hasText());
    long leftNanos = request.deadlineNanos() - context.clock().nanos();
    Duration left = Duration.ofNanos(Math.max(0, leftNanos));
    this.deadline = context.scheduler().schedule(left, this::onDeadline);
  }

  /** Starts the first attempt. */
  synchronized void startFirstAttempt() {
    startAttempt(StartCause.FIRST);
  }

  /** Attaches to an attempt that runs already, and makes the text again if it is gone. */
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
    ServerSearch next =
        new ServerSearch(
            context,
            digest,
            cause,
            RouteRequests.of(request, state, lostServerIds, cause),
            this::runLocked,
            place -> launch(place, cause),
            this::onNoServer);
    search = Optional.of(next);
    next.tryReserve();
  }

  private synchronized void runLocked(Runnable action) {
    action.run();
  }

  private void launch(ServerReservation place, StartCause cause) {
    search = Optional.empty();
    AttemptStart start = state.startAttempt();
    LiveAttempt live = register(start.attempt(), place.route().server(), Optional.of(place));
    useCall(live, calls.start(live, start, cause, listener(live)));
  }

  private LiveAttempt register(AttemptId id, BackendServer server, Optional<ServerReservation> place) {
    planner.onStart();
    LiveAttempt live = calls.newAttempt(id, server, place);
    attempts.put(id, live);
    monitor.check(live);
    return live;
  }

  private void attach(LiveAttempt live) {
    long seed = state.pin().seed();
    useCall(live, calls.attach(live, state.nextOffset(), seed, listener(live)));
  }

  private void useCall(LiveAttempt live, EngineCall call) {
    live.setCall(call);
    if (isReadingPaused) {
      live.pauseReading();
    }
  }

  private EngineListener listener(LiveAttempt live) {
    return new EngineListener() {
      @Override
      public void onEvent(EngineEvent event) {
        GenerationRun.this.onEvent(live, event);
      }

      @Override
      public void onEnd(StreamEnd end) {
        GenerationRun.this.onEnd(live, end);
      }
    };
  }

  private synchronized void onEvent(LiveAttempt live, EngineEvent event) {
    if (answer.hasEnded() || live.hasEnded()) {
      return;
    }
    StreamOutcome outcome = state.apply(event);
    if (outcome instanceof StreamOutcome.Accepted accepted) {
      recordProgress(live, accepted.losers());
      deliver(live, accepted.offset(), accepted.text(), accepted.hash());
    } else if (outcome instanceof StreamOutcome.Withheld withheld) {
      recordProgress(live, withheld.losers());
    } else if (outcome instanceof StreamOutcome.Finished finished) {
      cancelLosers(finished.losers());
      finish(live, finished.reason());
    } else if (outcome instanceof StreamOutcome.Diverged diverged) {
      recordProgress(live, diverged.losers());
      handleDivergence(live, diverged);
    } else if (outcome instanceof StreamOutcome.AttemptEnded ended) {
      context.observer().onInvalidChunk(ended.reason());
      endLostAttempt(live, LossReason.ENGINE_ERROR, ended.reason().wireName());
    } else if (outcome instanceof StreamOutcome.Fenced) {
      context.observer().onFencedChunk();
    }
  }

  private void recordProgress(LiveAttempt live, List<AttemptId> losers) {
    long now = context.clock().nanos();
    boolean isFirst = !live.detector().isStreaming();
    live.onToken(now, state.nextOffset());
    if (isFirst) {
      monitor.check(live);
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

  private void deliver(LiveAttempt live, int offset, String text, RollingHash hash) {
    answer.writeToken(live, state, offset, text, hash);
    if (!isReadingPaused && !answer.isWritable()) {
      isReadingPaused = true;
      monitor.setReadingPaused(true);
      answer.recordDecision(DecisionKind.READER_SLOW, "paused after offset " + offset);
      attempts.values().forEach(LiveAttempt::pauseReading);
    }
  }

  private void finish(LiveAttempt live, String reason) {
    attempts.remove(live.id());
    live.succeeded(context.scheduler());
    context.mechanisms().requestGuard().onSuccess(digest);
    answer.finish(reason);
    close();
  }

  private void handleDivergence(LiveAttempt live, StreamOutcome.Diverged diverged) {
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
      deliver(live, i, diverged.tokens().get(i), hash);
    }
    diverged.finishReason().ifPresent(reason -> finish(live, reason));
  }

  private synchronized void onEnd(LiveAttempt live, StreamEnd end) {
    if (answer.hasEnded() || live.hasEnded() || live.isConfirmingLoss()) {
      return;
    }
    if (end == StreamEnd.RESET) {
      monitor.onConnectionReset(live);
    } else if (end == StreamEnd.NOT_FOUND && live.isAdopted()) {
      attempts.remove(live.id());
      state.endAttempt(live.id());
      live.cancelled();
      answer.recordDecision(DecisionKind.ATTEMPT_LOST, live.id() + " is no longer kept");
      startAttempt(StartCause.RERUN);
    } else {
      endLostAttempt(live, lossReasonOf(end), end.wireName());
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
  public void onDisconnected(LiveAttempt live) {
    answer.markAwaitingResume();
    attach(live);
  }

  @Override
  public void onSuspicious(LiveAttempt live) {
    answer.recordDecision(DecisionKind.ATTEMPT_SILENT, live.id() + " on " + live.server().id());
    if (live.isIsolated()) {
      return;
    }
    RecoveryAction action =
        planner.onSuspicion(state.liveAttemptCount(), live.detector().isStreaming());
    if (action instanceof RecoveryAction.StartElsewhere elsewhere) {
      answer.markAwaitingResume();
      lostServerIds.add(live.server().id());
      startAttempt(elsewhere.cause());
    }
  }

  @Override
  public void onLost(LiveAttempt live, AttemptMonitor.Loss loss) {
    if (loss.isServerDown()) {
      boolean isEarly = !live.detector().isStreaming();
      RequestGuard guard = context.mechanisms().requestGuard();
      guard.onServerLost(live.server().id(), digest, state.nextOffset(), isEarly);
      live.onServerLost();
    }
    endLostAttempt(live, loss.reason(), loss.detail());
  }

  private void endLostAttempt(LiveAttempt live, LossReason reason, String detail) {
    attempts.remove(live.id());
    state.endAttempt(live.id());
    lostServerIds.add(live.server().id());
    context.observer().onLoss(reason);
    answer.recordDecision(
        DecisionKind.ATTEMPT_LOST, live.id() + " on " + live.server().id() + ": " + detail);
    if (reason.mayStillRun()) {
      calls.cancel(live);
    }
    if (reason.isServerFault()) {
      live.failed();
    } else {
      live.cancelled();
    }
    answer.markAwaitingResume();
    recover();
  }

  private void recover() {
    if (search.isPresent()) {
      return;
    }
    RecoveryAction action = planner.onLoss(state.liveAttemptCount());
    if (action instanceof RecoveryAction.Fail giveUp) {
      refuse(Refusal.mayHaveRun(giveUp.reason(), "the generation lost its servers too often"));
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
    boolean mayStartAfresh =
        state.isReplaying()
            && state.nextOffset() == 0
            && refusal.reason() == RefusalReason.NO_SERVER
            && state.pin().version().isPresent()
            && request.profile().rerun() == RerunPolicy.NEW_GENERATION;
    if (!mayStartAfresh) {
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

  /** Ends the answer without its end and cancels what still runs. */
  private void refuse(Refusal refusal) {
    answer.recordDecision(DecisionKind.REFUSED, refusal.reason().wireName() + ": " + refusal.detail());
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
      attempts.values().forEach(live -> live.resumeReading(now));
    }
  }
}
