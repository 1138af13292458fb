package org.galenapost.daemon.operator;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.galenapost.core.json.Json;
import org.galenapost.core.order.OrderStatus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.daemon.controller.OrderStatusWriter;

/** The route that lists the orders to engines. */
public final class OrderRoutes {

  private final ObjectStore store;
  private final Supplier<Collection<OrderStatus>> localStatuses;

  private OrderRoutes(ObjectStore store, Supplier<Collection<OrderStatus>> own) {
    this.store = store;
    this.localStatuses = own;
  }

  /**
   * The orders of all engines.
   *
   * @param orders one entry for each engine
   * @param complete whether the platform told what other daemons ordered
   */
  record Orders(List<OrderStatus> orders, boolean complete) {}

  /**
   * Adds the route.
   *
   * @param routes the routes of the operator port
   * @param store keeps what other daemons ordered
   * @param own what this daemon saw of the engines that fall to it
   */
  public static void addTo(
      OperatorRoutes routes, ObjectStore store, Supplier<Collection<OrderStatus>> own) {
    OrderRoutes handlers = new OrderRoutes(store, own);
    routes.add("GET", "/v1/orders", request -> handlers.list());
  }

  private CompletionStage<OperatorResponse> list() {
    return store
        .list(OrderStatusWriter.KIND)
        .thenApply(
            answer ->
                answer.fold(
                    error -> respond(List.of(), false),
                    listing -> respond(listing.objects(), true)));
  }

  /** What this daemon sees itself is newer than what was written. */
  private OperatorResponse respond(List<VersionedObject> written, boolean isComplete) {
    Map<String, OrderStatus> statusesByTask = new TreeMap<>();
    for (VersionedObject object : written) {
      Json.read(object.json(), OrderStatus.class)
          .forEach(status -> statusesByTask.put(status.task(), status));
    }
    localStatuses.get().forEach(status -> statusesByTask.put(status.task(), status));
    return OperatorResponse.ok(new Orders(List.copyOf(statusesByTask.values()), isComplete));
  }
}
