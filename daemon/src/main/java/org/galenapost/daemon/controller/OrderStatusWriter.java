package org.galenapost.daemon.controller;

import org.galenapost.core.json.Json;
import org.galenapost.core.order.OrderStatus;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;

/**
 * Writes the status of a task to the platform for operators, once per reconciliation that gave
 * orders. No decision depends on the stored status, so a failed write is not retried.
 */
public final class OrderStatusWriter {

  /** The object kind of stored statuses. */
  public static final String KIND = "order-status";

  private final ObjectStore store;

  /** Creates a writer to an object store. */
  public OrderStatusWriter(ObjectStore store) {
    this.store = store;
  }

  void write(OrderStatus status) {
    ObjectKey key = new ObjectKey(KIND, status.task());
    store
        .get(key)
        .thenAccept(
            result -> {
              if (result.isRight()) {
                store.put(key, result.get().version(), Json.write(status));
              } else if (result.getLeft() instanceof PlatformError.NotFound) {
                store.put(key, ObjectStore.ABSENT, Json.write(status));
              }
            });
  }
}
