package org.galenapost.core.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.platform.ObjectStore;

/**
 * The roll-outs of all services, as one daemon takes part in them. Not safe for use by several
 * threads.
 */
public final class Rollouts {

  /** The interval of reports to a coordinator, as the requirements say. */
  private static final Duration TICK = Duration.ofMillis(100);

  /** How often a report is repeated without a change, in case the one before it was lost. */
  private static final Duration REPORT_REPEAT = Duration.ofSeconds(1);

  private final RolloutEnvironment environment;
  private final RolloutSettings settings;
  private final RolloutCoordinator coordinator;
  private final RolloutWatch watch;
  private final Map<String, ServiceRollouts> services = new HashMap<>();
  private final Map<Trial, SentReport> sentReports = new HashMap<>();
  private final long incarnation;
  private long lastSequence;
  private long targetSends;
  private boolean isStopped;

  private record SentReport(
      String coordinator,
      RolloutStage stage,
      int othersInProgress,
      RolloutResults results,
      long nanos) {}

  /**
   * Creates roll-outs without orders.
   *
   * @param environment what they need of the daemon
   * @param store holds the orders
   * @param settings the bounds
   */
  public Rollouts(RolloutEnvironment environment, ObjectStore store, RolloutSettings settings) {
    this.environment = environment;
    this.settings = settings;
    this.coordinator = new RolloutCoordinator(environment, store, settings);
    this.watch = new RolloutWatch(environment, store, this::onOrders);
    this.incarnation = (long) (environment.random().nextDouble() * Long.MAX_VALUE);
  }

  /** Starts to follow orders and to exchange messages. */
  public void start() {
    environment.bus().onMessage(RolloutMessage.Lease.class, (sender, told) -> onLease(told));
    environment.bus().onMessage(RolloutMessage.Report.class, this::onReport);
    watch.start();
    scheduleTick();
  }

  /** Stops following orders. */
  public void stop() {
    isStopped = true;
    watch.stop();
  }

  private void scheduleTick() {
    environment
        .scheduler()
        .schedule(
            TICK,
            () -> {
              if (!isStopped) {
                tick();
                scheduleTick();
              }
            });
  }

  private ServiceRollouts service(String name) {
    return services.computeIfAbsent(
        name, n -> new ServiceRollouts(this::newTrial, environment.clock()));
  }

  private Trial newTrial(RolloutOrder order) {
    ExposureBudget budget = new ExposureBudget(settings.exposureShare(), environment.random());
    Trial trial = new Trial(order, budget, environment.clock());
    order
        .statusOfTarget()
        .filter(status -> status.beganEpochMs() > 0)
        .ifPresent(
            status -> {
              long sinceBeganMs = environment.timeOfDay().millis() - status.beganEpochMs();
              trial.raiseElapsed(Math.min(sinceBeganMs, order.withinMs()));
            });
    return trial;
  }

  private void onOrders(List<RolloutOrder> orders) {
    Set<String> names = new HashSet<>();
    for (RolloutOrder order : orders) {
      names.add(order.name());
      ServiceRollouts rollouts = service(order.name());
      // The versions that run without an order must be known before the target's servers appear.
      rollouts.share(Set.copyOf(environment.runningVersions().apply(order.name())));
      RolloutStage before = rollouts.trialOf(order.target()).map(Trial::stage).orElse(null);
      rollouts.apply(order);
      rollouts
          .current()
          .filter(trial -> trial.stage() != before)
          .ifPresent(trial -> environment.listener().onStage(order, trial.stage(), ""));
    }
    services.forEach(
        (name, rollouts) -> {
          if (!names.contains(name)) {
            rollouts.withdraw();
          }
        });
  }

  private void onLease(RolloutMessage.Lease told) {
    Optional<Trial> known = service(told.service()).trialOf(told.target());
    if (known.isEmpty()) {
      return;
    }
    Trial trial = known.get();
    RolloutStage before = trial.stage();
    if (told.stage() != RolloutStage.COMPLETED) {
      trial.enter(told.stage(), "told by the coordinator");
    }
    trial.raiseElapsed(told.elapsedMs());
    trial.extendLease(settings.lease());
    if (trial.stage() != before) {
      environment.listener().onStage(trial.order(), trial.stage(), trial.reason());
    }
  }

  private void onReport(String sender, RolloutMessage.Report report) {
    service(report.service())
        .trialOf(report.target())
        .ifPresent(trial -> trial.onReport(sender, report));
  }

  private void tick() {
    boolean isInProgress = false;
    for (Map.Entry<String, ServiceRollouts> entry : services.entrySet()) {
      Optional<Trial> current = entry.getValue().current();
      if (current.isEmpty()) {
        continue;
      }
      Trial trial = current.get();
      isInProgress |= !trial.stage().isFinal();
      String first =
          Rendezvous.choose(entry.getKey(), environment.ownId(), environment.bus().livePeerIds());
      report(entry.getKey(), entry.getValue(), trial, first);
      if (first.equals(environment.ownId())) {
        coordinator.conduct(trial);
      }
    }
    watch.tick(isInProgress);
  }

  private void report(String name, ServiceRollouts rollouts, Trial trial, String first) {
    if (trial.stage().isFinal()) {
      sentReports.remove(trial);
      return;
    }
    SentReport now =
        new SentReport(
            first,
            trial.stage(),
            trial.stage() == RolloutStage.SHIFTING
                ? rollouts.othersInProgress(trial.order().target())
                : 0,
            trial.ownResults(),
            environment.clock().nanos());
    SentReport last = sentReports.get(trial);
    boolean isRepeat =
        last != null
            && now.equals(
                new SentReport(
                    last.coordinator(),
                    last.stage(),
                    last.othersInProgress(),
                    last.results(),
                    now.nanos()));
    if (isRepeat && environment.clock().since(last.nanos()).compareTo(REPORT_REPEAT) < 0) {
      return;
    }
    sentReports.put(trial, now);
    RolloutMessage.Report report =
        new RolloutMessage.Report(
            name,
            trial.order().target(),
            incarnation,
            ++lastSequence,
            now.stage(),
            now.othersInProgress(),
            now.results());
    if (first.equals(environment.ownId())) {
      trial.onReport(first, report);
    } else {
      environment.bus().send(first, report);
    }
  }

  /**
   * Returns which versions the next send of a request to a service may go to. Until the orders are
   * known, that is the version that most of its servers run.
   *
   * @param service the service
   */
  public VersionShare versions(String service) {
    List<String> running = environment.runningVersions().apply(service);
    if (watch.isLoaded()) {
      return service(service).share(Set.copyOf(running));
    }
    return running.size() < 2
        ? VersionShare.ANY
        : VersionShare.denying(Set.copyOf(running.subList(1, running.size())));
  }

  /**
   * Counts a send to a server.
   *
   * @param service the service
   * @param version the version that the server runs
   * @param route the name of the route
   * @param isFirst whether it is the first send of its request; others give no room for sends to a
   *     target, but take it
   * @return takes the result of the send
   */
  public RolloutSend onSend(String service, String version, String route, boolean isFirst) {
    ServiceRollouts rollouts = service(service);
    if (rollouts.current().filter(t -> t.order().target().equals(version)).isPresent()) {
      targetSends++;
    }
    return rollouts.onSend(version, route, isFirst);
  }

  /** Returns the number of sends to targets of current orders, for the metrics. */
  public long targetSends() {
    return targetSends;
  }

  /** Returns the number of orders in a stage, for the metrics. */
  public long countIn(RolloutStage stage) {
    return services.values().stream()
        .flatMap(rollouts -> rollouts.current().stream())
        .filter(trial -> trial.stage() == stage)
        .count();
  }

  /** Returns whether this daemon watches the store for orders, for the metrics. */
  public boolean isWatcher() {
    return watch.isWatcher();
  }

  /** Returns the services in rollout of which this daemon is the coordinator, for the metrics. */
  public List<String> coordinated() {
    List<String> names = new ArrayList<>();
    services.forEach(
        (name, rollouts) -> {
          boolean isOwn =
              Rendezvous.choose(name, environment.ownId(), environment.bus().livePeerIds())
                  .equals(environment.ownId());
          if (isOwn && rollouts.current().isPresent()) {
            names.add(name);
          }
        });
    names.sort(Comparator.naturalOrder());
    return names;
  }
}
