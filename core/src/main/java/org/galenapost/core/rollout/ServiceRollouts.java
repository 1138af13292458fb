package org.galenapost.core.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.galenapost.core.time.MonotonicClock;

/** The versions of one service that this daemon sends to, and the sends in progress. */
final class ServiceRollouts {

  /**
   * How long a version that appears is held back, so that an order for it is known first. Releases
   * bring versions without an order, and their servers replace those of before.
   */
  static final Duration ORDER_WAIT = Duration.ofSeconds(1);

  private final Function<RolloutOrder, Trial> newTrial;
  private final MonotonicClock clock;
  private final Map<String, Trial> trials = new HashMap<>();
  private final Map<String, Long> firstSeenNanos = new HashMap<>();
  private final Map<String, Integer> sendsInProgress = new HashMap<>();
  private final Set<String> allowed = new HashSet<>();
  private Optional<Trial> current = Optional.empty();

  ServiceRollouts(Function<RolloutOrder, Trial> newTrial, MonotonicClock clock) {
    this.newTrial = newTrial;
    this.clock = clock;
  }

  Optional<Trial> current() {
    return current;
  }

  /** Returns the trial of a version, also of an order that is gone. */
  Optional<Trial> trialOf(String version) {
    return Optional.ofNullable(trials.get(version));
  }

  /** Takes over an order. A second target stops the first one and is not tried itself. */
  void apply(RolloutOrder order) {
    String target = order.target();
    Optional<Trial> previous = current;
    boolean isAgain = previous.filter(trial -> trial.order().target().equals(target)).isPresent();
    Trial held = trials.get(target);
    if (held != null && held.order().version() < order.version() && held.isCorrectedBy(order)) {
      trials.put(target, newTrial.apply(order.withoutStatus()));
      trials.get(target).update(order.withoutStatus());
    } else {
      trials.computeIfAbsent(target, t -> newTrial.apply(order)).update(order);
    }
    Trial trial = trials.get(target);
    current = Optional.of(trial);
    if (!isAgain) {
      previous
          .filter(interrupted -> !interrupted.stage().isFinal())
          .ifPresent(
              interrupted -> {
                String first = interrupted.order().target();
                interrupted.refuse("another target was ordered: " + target);
                trial.refuse("another roll-out was in progress: " + first);
              });
    }
    if (order.isFaulty()) {
      trial.refuse(order.fault(service -> true).orElse(""));
    }
    if (trial.stage() == RolloutStage.COMPLETED) {
      allowed.add(target);
    } else if (!isAgain) {
      allowed.remove(target);
    }
  }

  /** Forgets the current order; its target gets no more requests unless it was completed. */
  void withdraw() {
    current = Optional.empty();
  }

  /** Returns which versions a send may go to. */
  VersionShare share(Set<String> running) {
    if (running.stream().noneMatch(allowed::contains)) {
      // This daemon has just started, or the service has moved while it was cut off.
      allowed.addAll(running);
      trials.values().stream()
          .filter(trial -> trial.stage() != RolloutStage.COMPLETED)
          .map(trial -> trial.order().target())
          .filter(target -> !running.equals(Set.of(target)) || isReverted(target))
          .forEach(allowed::remove);
    }
    running.forEach(this::allowWithoutOrder);
    boolean maySend = current.filter(this::maySendToTarget).isPresent();
    Optional<String> target = current.map(trial -> trial.order().target());
    Set<String> denied = new HashSet<>(running);
    denied.removeAll(allowed);
    if (maySend) {
      target.ifPresent(denied::remove);
    }
    boolean isTrial = current.filter(trial -> trial.stage() == RolloutStage.TRIAL).isPresent();
    double serverRatio = isTrial ? current.get().budget().share() : 1;
    Optional<String> resumable =
        current
            .filter(trial -> trial.stage() != RolloutStage.REVERTED && trial.isLeased())
            .map(trial -> trial.order().target());
    return new VersionShare(denied, maySend ? target : Optional.empty(), serverRatio, resumable);
  }

  private void allowWithoutOrder(String version) {
    long sinceNanos = firstSeenNanos.computeIfAbsent(version, v -> clock.nanos());
    if (!trials.containsKey(version) && clock.since(sinceNanos).compareTo(ORDER_WAIT) >= 0) {
      allowed.add(version);
    }
  }

  private boolean isReverted(String version) {
    return trials.get(version).stage() == RolloutStage.REVERTED;
  }

  private boolean maySendToTarget(Trial trial) {
    return switch (trial.stage()) {
      case TRIAL -> trial.isLeased() && trial.budget().hasRoom();
      case SHIFTING -> trial.isLeased();
      case COMPLETED -> true;
      case REVERTED -> false;
    };
  }

  /**
   * Counts a send to a version.
   *
   * @param isFirst whether it is the first send of its request. The limit of a version on trial is
   *     a share of the requests to the service, and a caller's next attempt is a request of its
   *     own.
   */
  RolloutSend onSend(String version, String route, boolean isFirst) {
    if (isFirst) {
      current.ifPresent(trial -> trial.budget().recordRequest());
    }
    sendsInProgress.merge(version, 1, Integer::sum);
    current
        .filter(trial -> trial.order().target().equals(version))
        .ifPresent(trial -> trial.budget().recordSend());
    return new Send(version, route, current);
  }

  /** Returns the sends to other versions than the given one that have not ended. */
  int othersInProgress(String version) {
    return sendsInProgress.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(version))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /** A send that was begun before the order does not count as a result. */
  private final class Send implements RolloutSend {

    private final String version;
    private final String route;
    private final Optional<Trial> trial;
    private boolean hasEvents;
    private boolean isEnded;

    Send(String version, String route, Optional<Trial> trial) {
      this.version = version;
      this.route = route;
      this.trial = trial;
    }

    @Override
    public void onFirstEvent(double elapsedMs) {
      if (!hasEvents) {
        hasEvents = true;
        record(AnswerOutcome.ANSWERED, elapsedMs);
      }
    }

    @Override
    public void end(AnswerOutcome outcome, double elapsedMs) {
      if (isEnded) {
        return;
      }
      if (!hasEvents || outcome != AnswerOutcome.ANSWERED) {
        record(outcome, elapsedMs);
      }
      abandon();
    }

    @Override
    public void abandon() {
      if (!isEnded) {
        isEnded = true;
        sendsInProgress.computeIfPresent(version, (v, count) -> count > 1 ? count - 1 : null);
      }
    }

    private void record(AnswerOutcome outcome, double elapsedMs) {
      trial.ifPresent(t -> t.record(t.order().target().equals(version), route, outcome, elapsedMs));
    }
  }
}
