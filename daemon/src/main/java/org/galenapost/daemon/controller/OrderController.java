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
 * Looks regularly at the engines that fall to this daemon and corrects them. Which engines fall to
 * it is a hint from the live daemons; the leases alone keep two holders apart.
 */
public final class OrderController implements Service {

  /** The longest time between two looks at an engine. */
  public static final Duration MAX_RECONCILE_INTERVAL = Duration.ofSeconds(2);

  private static final EventLog LOG = EventLog.of(OrderController.class);

  private final String ownId;
  private final PeerBus bus;
  private final Supplier<List<OrderTask>> tasks;
  private final PlacementReconciler reconciler;
  private final LoadRateLimiter pace;
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
   * @param ownId this daemon
   * @param bus tells which daemons live
   * @param tasks the tasks of all engines
   * @param reconciler looks at one engine and corrects it
   * @param pace the pace of loads
   * @param statusWriter writes what was ordered
   * @param scheduler runs the looks
   * @param random spreads the looks
   * @param metrics counts the orders
   */
  public OrderController(
      String ownId,
      PeerBus bus,
      Supplier<List<OrderTask>> tasks,
      PlacementReconciler reconciler,
      LoadRateLimiter pace,
      OrderStatusWriter statusWriter,
      Scheduler scheduler,
      RandomSource random,
      DaemonMetrics metrics) {
    this.ownId = ownId;
    this.bus = bus;
    this.tasks = tasks;
    this.reconciler = reconciler;
    this.pace = pace;
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

  /** Returns what this daemon saw last of each engine that fell to it. */
  public Collection<OrderStatus> statuses() {
    return List.copyOf(statusesByTask.values());
  }

  private void scheduleNext() {
    if (isRunning) {
      double share = 0.5 + 0.5 * random.nextDouble();
      long delayNanos = (long) (MAX_RECONCILE_INTERVAL.toNanos() * share);
      scheduler.schedule(Duration.ofNanos(delayNanos), this::reconcileOwnTasks);
    }
  }

  private void reconcileOwnTasks() {
    if (!isRunning) {
      return;
    }
    Set<String> peers = bus.livePeerIds();
    pace.shareAmong(peers.size() + 1);
    List<OrderTask> all = tasks.get();
    Set<String> names = new HashSet<>();
    for (OrderTask task : all) {
      if (Rendezvous.choose(task.name(), ownId, peers).equals(ownId)) {
        names.add(task.name());
        reconcile(task);
      }
    }
    statusesByTask.keySet().retainAll(names);
    scheduleNext();
  }

  private void reconcile(OrderTask task) {
    if (!tasksInProgress.add(task.name())) {
      return;
    }
    reconciler
        .reconcile(task)
        .whenComplete(
            (ended, error) -> {
              tasksInProgress.remove(task.name());
              if (error == null) {
                recordResult(task, ended);
              } else {
                LOG.error("order_failed").with("task", task.name()).write(error);
              }
            });
  }

  private void recordResult(OrderTask task, Reconciliation ended) {
    OrderStatus before = statusesByTask.get(task.name());
    OrderStatus status = statusOf(task, ended, Optional.ofNullable(before));
    statusesByTask.put(task.name(), status);
    boolean isNews = before == null || before.lastResult() != status.lastResult();
    if (ended.orderCount() > 0) {
      metrics.registry().counter("galenapost.orders").increment(ended.orderCount());
      statusWriter.write(status);
    }
    if (ended.orderCount() > 0 || (isNews && ended.result() != OrderResult.REACHED)) {
      log(status, ended.orderCount());
    }
    metrics
        .registry()
        .counter("galenapost.order.looks", "result", ended.result().wireName())
        .increment();
  }

  private OrderStatus statusOf(OrderTask task, Reconciliation ended, Optional<OrderStatus> before) {
    Optional<String> holder =
        ended.lease().map(lease -> ownId).or(() -> before.flatMap(OrderStatus::holder));
    long fencingNumber =
        ended
            .lease()
            .map(LeaseRecord::fencingNumber)
            .orElse(before.map(OrderStatus::fencingNumber).orElse(0L));
    return new OrderStatus(
        task.name(),
        task.server().id(),
        task.placement(),
        ended.found(),
        holder,
        fencingNumber,
        ended.result());
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
