package org.galenapost.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.galenapost.standins.http.HttpError;

/**
 * An order that changes the loaded models or the role of an engine.
 *
 * @param orderId the order's id
 * @param task the task that the fencing number belongs to; null means the empty task
 * @param fencingNumber the fencing number of the sender's lease
 * @param action the change to make
 * @param model the model's name; null only when the role changes
 * @param version the model's version; null only when the role changes
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

  /** The change that an order makes. */
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
   * The response to an order that was applied.
   *
   * @param applied always true
   */
  record AppliedResponse(boolean applied) {}

  /**
   * The response to an order that was rejected for its stale fencing number.
   *
   * @param currentFencingNumber the highest fencing number received for the task
   */
  record FencedResponse(long currentFencingNumber) {}
}
