package org.galenapost.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.galenapost.standins.http.HttpError;

/**
 * An order to change what the engine serves.
 *
 * @param orderId the order's id
 * @param task the task that the fencing number belongs to
 * @param fencingNumber the number of the holder's lease
 * @param action what to do
 * @param model the model, unless the role changes
 * @param version the version, unless the role changes
 * @param adapter the adapter to load, or null
 * @param role the new role, or null
 */
record EngineOrder(
    String orderId,
    String task,
    long fencingNumber,
    Action action,
    String model,
    String version,
    String adapter,
    String role) {

  EngineOrder {
    if (action == null) {
      throw HttpError.badRequest("expected action");
    }
    task = task == null ? "" : task;
    if (action == Action.CHANGE_ROLE) {
      require(role, "role");
    } else {
      require(model, "model");
      require(version, "version");
    }
    if (action == Action.LOAD_ADAPTER) {
      require(adapter, "adapter");
    }
  }

  private static void require(String value, String name) {
    if (value == null || value.isEmpty()) {
      throw HttpError.badRequest("expected " + name);
    }
  }

  /** What an order does. */
  enum Action {
    @JsonProperty("load-model")
    LOAD_MODEL,
    @JsonProperty("unload-model")
    UNLOAD_MODEL,
    @JsonProperty("load-adapter")
    LOAD_ADAPTER,
    @JsonProperty("change-role")
    CHANGE_ROLE
  }

  /**
   * The answer to an order that was applied.
   *
   * @param applied always true
   */
  record AppliedResponse(boolean applied) {}

  /**
   * The answer to an order with an old fencing number.
   *
   * @param currentFencingNumber the highest number seen for the task
   */
  record FencedResponse(long currentFencingNumber) {}
}
