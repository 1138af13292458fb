package org.galenapost.core.rollout;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.galenapost.core.json.Json;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.core.time.MonotonicClock;

/**
 * Conducts the roll-outs for which this daemon is the first in rendezvous order: judges the target,
 * tells the other daemons the stage, and writes the status. Not safe for use by several threads.
 */
final class RolloutCoordinator {

  private static final long NANOS_PER_MS = 1_000_000;

  /** A quarter of the lease of the users' deployments, so that one lost message does no harm. */
  private static final long LEASE_INTERVAL_MS = 500;

  /** The pause between writes of a status while the store does not take them. */
  private static final long WRITE_INTERVAL_MS = 500;

  /** The share of the time limit at which a good target gets all traffic. */
  private static final double SHIFT_SHARE = 0.5;

  /** The share from which on a route without enough requests does not hold up the shift. */
  private static final double RARE_ROUTE_SHARE = 0.7;

  /** The share at which the roll-out is completed whatever is in progress. */
  private static final double COMPLETION_SHARE = 0.9;

  private final String ownId;
  private final PeerBus bus;
  private final ObjectStore store;
  private final RolloutSettings settings;
  private final MonotonicClock clock;
  private final InstantSource timeOfDay;
  private final Predicate<String> isKnownService;
  private final Function<String, List<String>> runningVersions;
  private final RolloutListener listener;
  private final Map<Trial, Long> nextLeaseNanos = new HashMap<>();
  private final Map<Trial, Long> nextWriteNanos = new HashMap<>();
  private final Set<Trial> writing = new HashSet<>();

  RolloutCoordinator(RolloutEnvironment environment, ObjectStore store, RolloutSettings settings) {
    this.ownId = environment.ownId();
    this.bus = environment.bus();
    this.store = store;
    this.settings = settings;
    this.clock = environment.clock();
    this.timeOfDay = environment.timeOfDay();
    this.isKnownService = environment.isKnownService();
    this.runningVersions = environment.runningVersions();
    this.listener = environment.listener();
  }

  /** Conducts one roll-out as far as it can be now. */
  void conduct(Trial trial) {
    RolloutStage before = trial.stage();
    decide(trial);
    if (trial.stage() != before) {
      listener.onStage(trial.order(), trial.stage(), trial.reason());
      nextLeaseNanos.remove(trial);
    }
    tellStage(trial);
    writeStatus(trial);
  }

  private void decide(Trial trial) {
    if (trial.stage().isFinal()) {
      return;
    }
    RolloutOrder order = trial.order();
    Optional<String> fault = order.fault(isKnownService);
    if (fault.isPresent()) {
      trial.enter(RolloutStage.REVERTED, fault.get());
      return;
    }
    if (!trial.isStatus(RolloutState.ACTIVE)) {
      return;
    }
    RolloutResults results = trial.allResults();
    Optional<String> badness = RolloutVerdict.fault(results);
    if (badness.isPresent()) {
      trial.enter(RolloutStage.REVERTED, badness.get());
    } else if (trial.stage() == RolloutStage.TRIAL && mayShift(trial, results)) {
      trial.enter(RolloutStage.SHIFTING, results.targetAnswers() + " good answers");
    } else if (trial.stage() == RolloutStage.TRIAL && trial.elapsedShare() >= COMPLETION_SHARE) {
      trial.enter(
          RolloutStage.REVERTED,
          (RolloutVerdict.isDoubtful(results) ? "still in doubt after " : "too few answers: ")
              + results.targetAnswers()
              + " answers");
    } else if (trial.elapsedShare() >= 1) {
      trial.enter(RolloutStage.REVERTED, "the time limit has passed");
    }
  }

  private boolean mayShift(Trial trial, RolloutResults results) {
    double elapsed = trial.elapsedShare();
    long minOnRoute = elapsed >= RARE_ROUTE_SHARE ? 0 : RolloutVerdict.MIN_ANSWERS;
    return elapsed >= SHIFT_SHARE
        && results.targetAnswers() >= RolloutVerdict.MIN_ANSWERS
        && !RolloutVerdict.isDoubtful(results)
        && results.routes().stream()
            .allMatch(route -> results.targetOn(route).answers() >= minOnRoute);
  }

  private void tellStage(Trial trial) {
    boolean isDue =
        Optional.ofNullable(nextLeaseNanos.get(trial))
            .map(next -> clock.nanos() - next >= 0)
            .orElse(true);
    boolean isBegun = trial.isStatus(RolloutState.ACTIVE) || trial.stage().isFinal();
    boolean isKnownToAll =
        trial.stage().isFinal() && trial.isStatus(finalState(trial)) && isOver(trial);
    if (!isDue || !isBegun || isKnownToAll) {
      return;
    }
    nextLeaseNanos.put(trial, clock.nanos() + LEASE_INTERVAL_MS * NANOS_PER_MS);
    RolloutOrder order = trial.order();
    trial.extendLease(settings.lease());
    bus.broadcast(
        new RolloutMessage.Lease(order.name(), order.target(), trial.stage(), trial.elapsedMs()));
  }

  private static boolean isOver(Trial trial) {
    return trial.elapsedShare() >= 1;
  }

  private static RolloutState finalState(Trial trial) {
    return trial.stage() == RolloutStage.COMPLETED ? RolloutState.COMPLETED : RolloutState.REVERTED;
  }

  /** Returns the state that the status should name and does not. */
  private Optional<RolloutState> stateToWrite(Trial trial) {
    RolloutState wanted =
        switch (trial.stage()) {
          case TRIAL -> runsNothingElse(trial) ? RolloutState.COMPLETED : RolloutState.ACTIVE;
          case SHIFTING -> isShifted(trial) ? RolloutState.COMPLETED : RolloutState.ACTIVE;
          case COMPLETED -> RolloutState.COMPLETED;
          case REVERTED -> RolloutState.REVERTED;
        };
    return trial.isStatus(wanted) ? Optional.empty() : Optional.of(wanted);
  }

  private boolean runsNothingElse(Trial trial) {
    return trial.order().status().isEmpty()
        && runningVersions.apply(trial.order().service()).equals(List.of(trial.order().target()));
  }

  private boolean isShifted(Trial trial) {
    Set<String> daemons = new HashSet<>(bus.livePeerIds());
    daemons.add(ownId);
    return trial.elapsedShare() >= COMPLETION_SHARE || trial.areOthersIdle(daemons);
  }

  private void writeStatus(Trial trial) {
    boolean mustWait = nextWriteNanos.getOrDefault(trial, clock.nanos()) - clock.nanos() > 0;
    Optional<RolloutState> state = stateToWrite(trial);
    if (state.isEmpty() || mustWait || writing.contains(trial)) {
      return;
    }
    writing.add(trial);
    nextWriteNanos.put(trial, clock.nanos() + WRITE_INTERVAL_MS * NANOS_PER_MS);
    RolloutOrder order = trial.order();
    long beganEpochMs =
        order
            .statusOfTarget()
            .map(RolloutStatus::beganEpochMs)
            .orElseGet(() -> timeOfDay.millis() - trial.elapsedMs());
    RolloutStatus status =
        new RolloutStatus(state.get().wireName(), order.target(), beganEpochMs, trial.reason());
    store
        .putStatus(
            new ObjectKey(RolloutOrder.KIND, order.name()), order.version(), Json.write(status))
        .whenComplete((answer, error) -> onWritten(trial, order, state.get(), answer, error));
  }

  private void onWritten(
      Trial trial,
      RolloutOrder written,
      RolloutState state,
      Either<PlatformError, VersionedObject> answer,
      Throwable error) {
    writing.remove(trial);
    String failure = "";
    if (error != null) {
      failure = error.toString();
    } else if (answer.isLeft()) {
      failure = answer.getLeft().toString();
    }
    listener.onStatusWrite(written, state, failure);
    if (error != null) {
      return;
    }
    Optional<VersionedObject> current = answer.fold(RolloutCoordinator::currentOf, Optional::of);
    current
        .flatMap(object -> RolloutDocuments.read(object).toJavaOptional())
        .filter(order -> order.version() >= trial.order().version())
        .filter(order -> order.target().equals(trial.order().target()))
        .ifPresent(trial::update);
  }

  private static Optional<VersionedObject> currentOf(PlatformError error) {
    return error instanceof PlatformError.Conflict conflict ? conflict.current() : Optional.empty();
  }
}
