package org.galenapost.core.order;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.galenapost.core.configuration.Placement;

/**
 * Compares an engine with what is wanted and corrects it by orders, one at a time, each under the
 * lease of the task. It keeps no state between two looks, so that it corrects whatever changed the
 * engine since.
 */
public final class PlacementReconciler {

  private static final int MAX_ORDERS = 16;

  private final EngineControl engines;
  private final OrderLeases leases;
  private final LoadRateLimiter pace;
  private final Supplier<String> orderIds;
  private final CurrentPlacements placements;

  /** Tells which version of an engine's placement is in force. */
  @FunctionalInterface
  public interface CurrentPlacements {

    /** Returns the version, empty if the engine has no placement. */
    Optional<Long> version(String serverId);
  }

  /**
   * Creates a reconciler.
   *
   * @param engines reads states and gives orders
   * @param leases the leases of the tasks
   * @param pace the pace of loads
   * @param orderIds makes unique ids
   * @param placements tells which placement is in force
   */
  public PlacementReconciler(
      EngineControl engines,
      OrderLeases leases,
      LoadRateLimiter pace,
      Supplier<String> orderIds,
      CurrentPlacements placements) {
    this.engines = Objects.requireNonNull(engines, "engines");
    this.leases = Objects.requireNonNull(leases, "leases");
    this.pace = Objects.requireNonNull(pace, "pace");
    this.orderIds = Objects.requireNonNull(orderIds, "orderIds");
    this.placements = Objects.requireNonNull(placements, "placements");
  }

  /** Looks at an engine once and corrects it as far as it can. */
  public CompletionStage<Reconciliation> reconcile(OrderTask task) {
    return engines
        .state(task.server())
        .thenCompose(
            state ->
                state.fold(
                    error -> done(Reconciliation.unreachable()), found -> compare(task, found)));
  }

  private CompletionStage<Reconciliation> compare(OrderTask task, EngineState found) {
    Optional<OrderStep> step = PlacementComparison.nextStep(task.placement(), found);
    if (step.isEmpty()) {
      return done(Reconciliation.of(settled(task.placement(), found), found));
    }
    if (!pace.tryStart(step.get())) {
      return done(Reconciliation.of(OrderResult.PACED, found));
    }
    return leases
        .acquire(task.name(), task.placementVersion())
        .thenCompose(lease -> begin(task, step.get(), found, lease));
  }

  private CompletionStage<Reconciliation> begin(
      OrderTask task, OrderStep step, EngineState found, Either<LeaseRefusal, HeldLease> lease) {
    if (lease.isLeft()) {
      pace.refund(step);
      return done(Reconciliation.of(OrderResult.of(lease.getLeft()), found));
    }
    HeldLease held = lease.get();
    Run run =
        new Run(
            task,
            held,
            new Reconciliation(
                OrderResult.IN_PROGRESS, Optional.of(found), Optional.of(held.record()), 0));
    return order(run, step).thenApply(ended -> release(ended, held));
  }

  /** One holder's orders to one engine. */
  private record Run(OrderTask task, HeldLease lease, Reconciliation soFar) {

    Run found(EngineState state) {
      return new Run(task, lease, soFar.withFound(state));
    }

    Run ordered() {
      return new Run(task, lease, soFar.withOrderCounted());
    }

    CompletionStage<Reconciliation> end(OrderResult result) {
      return done(soFar.withResult(result));
    }
  }

  private CompletionStage<Reconciliation> order(Run run, OrderStep step) {
    if (!isCurrent(run.task()) || run.soFar().orderCount() >= MAX_ORDERS) {
      return run.end(OrderResult.IN_PROGRESS);
    }
    if (!leases.mayOrder(run.lease())) {
      return run.end(OrderResult.LEASE_ENDED);
    }
    EngineOrder order =
        new EngineOrder(
            orderIds.get(), run.task().name(), run.lease().record().fencingNumber(), step);
    return engines
        .order(run.task().server(), order)
        .thenCompose(answer -> onAnswer(run.ordered(), answer));
  }

  private CompletionStage<Reconciliation> onAnswer(Run run, OrderAnswer answer) {
    if (answer instanceof OrderAnswer.Applied) {
      return engines
          .state(run.task().server())
          .thenCompose(
              state ->
                  state.fold(
                      error -> run.end(OrderResult.UNREACHABLE),
                      found -> goOn(run.found(found), found)));
    }
    if (answer instanceof OrderAnswer.Fenced) {
      return run.end(OrderResult.FENCED);
    }
    return run.end(
        answer instanceof OrderAnswer.Lost ? OrderResult.ANSWER_LOST : OrderResult.REJECTED);
  }

  private CompletionStage<Reconciliation> goOn(Run run, EngineState found) {
    Placement wanted = run.task().placement();
    Optional<OrderStep> step = PlacementComparison.nextStep(wanted, found);
    if (step.isEmpty()) {
      return run.end(settled(wanted, found));
    }
    return pace.tryStart(step.get()) ? order(run, step.get()) : run.end(OrderResult.PACED);
  }

  private boolean isCurrent(OrderTask task) {
    return placements
        .version(task.server().id())
        .map(version -> version <= task.placementVersion())
        .orElse(false);
  }

  /** An order without an answer may come late, so the next holder must wait for its end. */
  private Reconciliation release(Reconciliation ended, HeldLease lease) {
    boolean mayComeLate = ended.result() == OrderResult.ANSWER_LOST;
    if (!mayComeLate && ended.result() != OrderResult.FENCED) {
      leases.release(lease);
    }
    return ended;
  }

  private static OrderResult settled(Placement wanted, EngineState found) {
    return PlacementComparison.isReached(wanted, found) ? OrderResult.REACHED : OrderResult.LOADING;
  }

  private static CompletionStage<Reconciliation> done(Reconciliation result) {
    return CompletableFuture.completedFuture(result);
  }
}
