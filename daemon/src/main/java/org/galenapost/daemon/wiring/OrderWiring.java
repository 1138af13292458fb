package org.galenapost.daemon.wiring;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.galenapost.core.configuration.ConfigurationCatalog;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.configuration.Model;
import org.galenapost.core.configuration.Placement;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.order.EngineControl;
import org.galenapost.core.order.LeaseSettings;
import org.galenapost.core.order.LoadRateLimiter;
import org.galenapost.core.order.OrderAction;
import org.galenapost.core.order.OrderLeases;
import org.galenapost.core.order.OrderStep;
import org.galenapost.core.order.OrderTask;
import org.galenapost.core.order.PlacementReconciler;
import org.galenapost.core.order.PlatformLeases;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.daemon.controller.ConfigurationController;
import org.galenapost.daemon.controller.OrderController;
import org.galenapost.daemon.controller.OrderStatusWriter;
import org.galenapost.daemon.engine.HttpEngineControl;
import org.galenapost.daemon.operator.OrderRoutes;
import org.galenapost.daemon.service.Service;

/** Composes the orders to engines. */
final class OrderWiring {

  private static final LeaseSettings LEASE_SETTINGS = LeaseSettings.defaults();
  private static final Duration ENGINE_STATE_TIMEOUT = Duration.ofSeconds(1);
  private static final double BYTES_PER_MEGABYTE = 1e6;

  private final ConfigurationHolder state;
  private final ConfigurationCatalog catalog;
  private final ConfigurationView view;

  private OrderWiring(ConfigurationController configuration, ConfigurationView view) {
    this.state = configuration.state();
    this.catalog = configuration.catalog();
    this.view = view;
  }

  /**
   * Creates the controller of orders.
   *
   * @param configuration the objects in force
   * @param view shows which backend servers leave
   */
  static Service create(
      DaemonContext context,
      Mechanisms mechanisms,
      ObjectStore store,
      PeerBus bus,
      ConfigurationController configuration,
      ConfigurationView view) {
    return new OrderWiring(configuration, view).create(context, mechanisms, store, bus);
  }

  private Service create(
      DaemonContext context, Mechanisms mechanisms, ObjectStore store, PeerBus bus) {
    String ownId = context.settings().daemon().id();
    OrderLeases leases = new PlatformLeases(ownId, LEASE_SETTINGS, store, context.clock());
    double storeRate =
        context.settings().limits().weightStoreMegabytesPerSecond() * BYTES_PER_MEGABYTE;
    LoadRateLimiter pace = new LoadRateLimiter(context.clock(), storeRate, this::loadSizeBytes);
    EngineControl engines =
        new HttpEngineControl(context.clients(), ENGINE_STATE_TIMEOUT, LEASE_SETTINGS.maxOrderDuration());
    PlacementReconciler reconciler =
        new PlacementReconciler(
            mechanisms.choose(EngineControl.class, engines, context),
            mechanisms.choose(OrderLeases.class, leases, context),
            pace,
            () -> ownId + "-" + UUID.randomUUID(),
            this::placementVersion);
    OrderController controller =
        new OrderController(
            ownId,
            bus,
            this::orderTasks,
            reconciler,
            pace,
            new OrderStatusWriter(store),
            context.scheduler(),
            context.random()::nextDouble,
            context.metrics());
    OrderRoutes.addTo(context.routes(), store, controller::statuses);
    return controller;
  }

  private Optional<Long> placementVersion(String serverId) {
    return state.find(ConfigurationKind.PLACEMENT, serverId).map(ConfigurationRecord::version);
  }

  private List<OrderTask> orderTasks() {
    Map<String, BackendServer> enginesById =
        view.servers().stream()
            .filter(server -> server.kind() == ServerKind.ENGINE)
            .filter(server -> server.state() == ServerState.LIVE)
            .collect(Collectors.toMap(BackendServer::id, Function.identity()));
    List<OrderTask> tasks = new ArrayList<>();
    for (Placement placement : catalog.placements()) {
      BackendServer engine = enginesById.get(placement.serverId());
      Optional<Long> version = placementVersion(placement.serverId());
      if (engine != null && version.isPresent()) {
        tasks.add(new OrderTask(engine, placement, version.get()));
      }
    }
    return tasks;
  }

  private long loadSizeBytes(OrderStep step) {
    return step.action() == OrderAction.LOAD_MODEL
        ? step.model().flatMap(catalog::model).map(Model::sizeBytes).orElse(0L)
        : 0;
  }
}
