package org.galenapost.daemon.controller;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.order.LeaseRecord;
import org.galenapost.core.order.LoadRateLimiter;
import org.galenapost.core.order.OrderResult;
import org.galenapost.core.order.OrderStatus;
import org.galenapost.core.order.OrderTask;
import org.galenapost.core.order.PlacementReconciler;
import org.galenapost.core.order.Reconciliation;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.service.Service;

/**
 * Periodically reconciles the engines assigned to this daemon with their tasks. The assignment is
 * derived from the live daemons and is only a hint, so two daemons may briefly claim the same
 * engine. Only the lease of an engine guarantees that a single daemon gives orders to it.
 */
public final class OrderController implements Service {

  /** The longest time between two reconciliations of an engine. */
  public static final Duration MAX_RECONCILE_INTERVAL = Duration.ofSeconds(2);

  private static final EventLog LOG = EventLog.of(OrderController.class);

  private final String ownId;
  private final PeerBus bus;
  private final Supplier<List<OrderTask>> tasks;
  private final PlacementReconciler reconciler;
  private final LoadRateLimiter rateLimiter;
  private final OrderStatusWriter statusWriter;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final DaemonMetrics metrics;
  private final Set<String> tasksInProgress = ConcurrentHashMap.newKeySet();
  private final Map<String, OrderStatus> statusesByTask = new ConcurrentHashMap<>();
  private volatile boolean isRunning;

  /**
   * Creates a controller.
   *
   * @param ownId the id of this daemon
   * @param bus provides the ids of the live daemons
   * @param tasks returns the tasks of all engines
   * @param reconciler compares an engine with its task and orders corrections
   * @param rateLimiter limits the rate of model loads
   * @param statusWriter stores the status of tasks after orders
   * @param scheduler schedules the reconciliations
   * @param random adds jitter to the reconciliations
   * @param metrics counts orders and reconciliations
   */
  public OrderController(
      String ownId,
      PeerBus bus,
      Supplier<List<OrderTask>> tasks,
      PlacementReconciler reconciler,
      LoadRateLimiter rateLimiter,
      OrderStatusWriter statusWriter,
      Scheduler scheduler,
      RandomSource random,
      DaemonMetrics metrics) {
    this.ownId = ownId;
    this.bus = bus;
    this.tasks = tasks;
    this.reconciler = reconciler;
    this.rateLimiter = rateLimiter;
    this.statusWriter = statusWriter;
    this.scheduler = scheduler;
    this.random = random;
    this.metrics = metrics;
  }

  @Override
  public String name() {
    return "orders";
  }

  @Override
  public void start() {
    isRunning = true;
    scheduleNext();
  }

  @Override
  public void stop() {
    isRunning = false;
  }

  /** Returns the last status of each task assigned to this daemon. */
  public Collection<OrderStatus> statuses() {
    return List.copyOf(statusesByTask.values());
  }

  private void scheduleNext() {
    if (isRunning) {
      double jitterFactor = 0.5 + 0.5 * random.nextDouble();
      long delayNanos = (long) (MAX_RECONCILE_INTERVAL.toNanos() * jitterFactor);
      scheduler.schedule(Duration.ofNanos(delayNanos), this::reconcileOwnTasks);
    }
  }

  private void reconcileOwnTasks() {
    if (!isRunning) {
      return;
    }
    Set<String> peers = bus.livePeerIds();
    rateLimiter.shareAmong(peers.size() + 1);
    List<OrderTask> allTasks = tasks.get();
    Set<String> ownTaskNames = new HashSet<>();
    for (OrderTask task : allTasks) {
      if (Rendezvous.choose(task.name(), ownId, peers).equals(ownId)) {
        ownTaskNames.add(task.name());
        reconcile(task);
      }
    }
    statusesByTask.keySet().retainAll(ownTaskNames);
    scheduleNext();
  }

  private void reconcile(OrderTask task) {
    if (!tasksInProgress.add(task.name())) {
      return;
    }
    reconciler
        .reconcile(task)
        .whenComplete(
            (reconciliation, error) -> {
              tasksInProgress.remove(task.name());
              if (error == null) {
                recordResult(task, reconciliation);
              } else {
                LOG.error("order_failed").with("task", task.name()).write(error);
              }
            });
  }

  private void recordResult(OrderTask task, Reconciliation reconciliation) {
    OrderStatus previous = statusesByTask.get(task.name());
    OrderStatus status = statusOf(task, reconciliation, Optional.ofNullable(previous));
    statusesByTask.put(task.name(), status);
    boolean isResultChanged = previous == null || previous.lastResult() != status.lastResult();
    if (reconciliation.orderCount() > 0) {
      metrics.registry().counter("galenapost.orders").increment(reconciliation.orderCount());
      statusWriter.write(status);
    }
    if (reconciliation.orderCount() > 0
        || (isResultChanged && reconciliation.result() != OrderResult.REACHED)) {
      log(status, reconciliation.orderCount());
    }
    metrics
        .registry()
        .counter("galenapost.order.looks", "result", reconciliation.result().wireName())
        .increment();
  }

  private OrderStatus statusOf(
      OrderTask task, Reconciliation reconciliation, Optional<OrderStatus> previous) {
    Optional<String> holder =
        reconciliation.lease().map(lease -> ownId).or(() -> previous.flatMap(OrderStatus::holder));
    long fencingNumber =
        reconciliation
            .lease()
            .map(LeaseRecord::fencingNumber)
            .orElse(previous.map(OrderStatus::fencingNumber).orElse(0L));
    return new OrderStatus(
        task.name(),
        task.server().id(),
        task.placement(),
        reconciliation.found(),
        holder,
        fencingNumber,
        reconciliation.result());
  }

  private static void log(OrderStatus status, int orders) {
    LOG.info("engine_looked_at")
        .with("task", status.task())
        .with("result", status.lastResult().wireName())
        .with("orders", orders)
        .with("fencing_number", status.fencingNumber())
        .write();
  }
}
