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

/** The route that lists the status of the orders to engines. */
public final class OrderRoutes {

  private final ObjectStore store;
  private final Supplier<Collection<OrderStatus>> localStatuses;

  private OrderRoutes(ObjectStore store, Supplier<Collection<OrderStatus>> localStatuses) {
    this.store = store;
    this.localStatuses = localStatuses;
  }

  /**
   * The response that lists the orders.
   *
   * @param orders the latest known status of each task
   * @param complete whether the platform returned the statuses that other daemons stored
   */
  record Orders(List<OrderStatus> orders, boolean complete) {}

  /**
   * Adds the route to the operator port.
   *
   * @param routes the routes of the operator port
   * @param store holds the statuses that the daemons store
   * @param localStatuses supplies the statuses of the tasks that this daemon reconciles
   */
  public static void addTo(
      OperatorRoutes routes, ObjectStore store, Supplier<Collection<OrderStatus>> localStatuses) {
    OrderRoutes handlers = new OrderRoutes(store, localStatuses);
    routes.add("GET", "/v1/orders", request -> handlers.list());
  }

  private CompletionStage<OperatorResponse> list() {
    return store
        .list(OrderStatusWriter.KIND)
        .thenApply(
            result ->
                result.fold(
                    error -> respond(List.of(), false),
                    listing -> respond(listing.objects(), true)));
  }

  /** Merges the statuses. This daemon's own statuses replace stored ones, as they are newer. */
  private OperatorResponse respond(List<VersionedObject> stored, boolean isComplete) {
    Map<String, OrderStatus> statusesByTask = new TreeMap<>();
    for (VersionedObject object : stored) {
      Json.read(object.json(), OrderStatus.class)
          .forEach(status -> statusesByTask.put(status.task(), status));
    }
    localStatuses.get().forEach(status -> statusesByTask.put(status.task(), status));
    return OperatorResponse.ok(new Orders(List.copyOf(statusesByTask.values()), isComplete));
  }
}
