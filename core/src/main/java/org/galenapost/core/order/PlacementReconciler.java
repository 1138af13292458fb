package org.galenapost.core.order;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.galenapost.core.configuration.Placement;

/**
 * Compares the state of an engine with its wanted placement and sends orders to correct it, one at
 * a time, each under the lease of the task. It keeps no state between reconciliations, so that it
 * corrects any change to the engine, whatever the cause.
 */
public final class PlacementReconciler {

  private static final int MAX_ORDERS_PER_LEASE = 16;

  private final EngineControl engines;
  private final OrderLeases leases;
  private final LoadRateLimiter loadLimiter;
  private final Supplier<String> orderIds;
  private final CurrentPlacements placements;

  /** Looks up the current version of an engine's placement. */
  @FunctionalInterface
  public interface CurrentPlacements {

    /** Returns the version, empty if the engine has no placement. */
    Optional<Long> version(String serverId);
  }

  /**
   * Creates a reconciler.
   *
   * @param engines reads the state of engines and sends orders
   * @param leases the leases of the tasks
   * @param loadLimiter the rate limit of model loads
   * @param orderIds generates unique order ids
   * @param placements looks up the current placement versions
   */
  public PlacementReconciler(
      EngineControl engines,
      OrderLeases leases,
      LoadRateLimiter loadLimiter,
      Supplier<String> orderIds,
      CurrentPlacements placements) {
    this.engines = Objects.requireNonNull(engines, "engines");
    this.leases = Objects.requireNonNull(leases, "leases");
    this.loadLimiter = Objects.requireNonNull(loadLimiter, "loadLimiter");
    this.orderIds = Objects.requireNonNull(orderIds, "orderIds");
    this.placements = Objects.requireNonNull(placements, "placements");
  }

  /** Reads the state of an engine once and sends the orders that correct it. */
  public CompletionStage<Reconciliation> reconcile(OrderTask task) {
    return engines
        .state(task.server())
        .thenCompose(
            state ->
                state.fold(
                    error -> completed(Reconciliation.unreachable()),
                    found -> compare(task, found)));
  }

  private CompletionStage<Reconciliation> compare(OrderTask task, EngineState found) {
    Optional<OrderStep> step = PlacementComparison.nextStep(task.placement(), found);
    if (step.isEmpty()) {
      return completed(Reconciliation.of(finalResult(task.placement(), found), found));
    }
    if (!loadLimiter.tryStart(step.get())) {
      return completed(Reconciliation.of(OrderResult.PACED, found));
    }
    return leases
        .acquire(task.name(), task.placementVersion())
        .thenCompose(lease -> sendFirstOrder(task, step.get(), found, lease));
  }

  private CompletionStage<Reconciliation> sendFirstOrder(
      OrderTask task, OrderStep step, EngineState found, Either<LeaseRefusal, HeldLease> lease) {
    if (lease.isLeft()) {
      loadLimiter.refund(step);
      return completed(Reconciliation.of(OrderResult.of(lease.getLeft()), found));
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

  /** The orders sent to one engine under one lease, with the result so far. */
  private record Run(OrderTask task, HeldLease lease, Reconciliation partialResult) {

    Run found(EngineState state) {
      return new Run(task, lease, partialResult.withFound(state));
    }

    Run withOrderCounted() {
      return new Run(task, lease, partialResult.withOrderCounted());
    }

    CompletionStage<Reconciliation> end(OrderResult result) {
      return completed(partialResult.withResult(result));
    }
  }

  private CompletionStage<Reconciliation> order(Run run, OrderStep step) {
    if (!isCurrent(run.task()) || run.partialResult().orderCount() >= MAX_ORDERS_PER_LEASE) {
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
        .thenCompose(answer -> onAnswer(run.withOrderCounted(), answer));
  }

  private CompletionStage<Reconciliation> onAnswer(Run run, OrderAnswer answer) {
    if (answer instanceof OrderAnswer.Applied) {
      return engines
          .state(run.task().server())
          .thenCompose(
              state ->
                  state.fold(
                      error -> run.end(OrderResult.UNREACHABLE),
                      found -> sendNextOrder(run.found(found), found)));
    }
    if (answer instanceof OrderAnswer.Fenced) {
      return run.end(OrderResult.FENCED);
    }
    return run.end(
        answer instanceof OrderAnswer.Lost ? OrderResult.ANSWER_LOST : OrderResult.REJECTED);
  }

  private CompletionStage<Reconciliation> sendNextOrder(Run run, EngineState found) {
    Placement wanted = run.task().placement();
    Optional<OrderStep> step = PlacementComparison.nextStep(wanted, found);
    if (step.isEmpty()) {
      return run.end(finalResult(wanted, found));
    }
    return loadLimiter.tryStart(step.get()) ? order(run, step.get()) : run.end(OrderResult.PACED);
  }

  private boolean isCurrent(OrderTask task) {
    return placements
        .version(task.server().id())
        .map(version -> version <= task.placementVersion())
        .orElse(false);
  }

  /** Keeps the lease of an unanswered order, as the engine may apply it late; it must expire. */
  private Reconciliation release(Reconciliation ended, HeldLease lease) {
    boolean mayApplyLate = ended.result() == OrderResult.ANSWER_LOST;
    if (!mayApplyLate && ended.result() != OrderResult.FENCED) {
      leases.release(lease);
    }
    return ended;
  }

  private static OrderResult finalResult(Placement wanted, EngineState found) {
    return PlacementComparison.isReached(wanted, found) ? OrderResult.REACHED : OrderResult.LOADING;
  }

  private static CompletionStage<Reconciliation> completed(Reconciliation result) {
    return CompletableFuture.completedFuture(result);
  }
}
