package org.galenapost.core.order;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import java.util.Objects;

/**
 * An order in the form in which it is sent to an engine.
 *
 * @param orderId the unique id of the order
 * @param task the name of the task whose lease has the fencing number
 * @param fencingNumber the fencing number of the sender's lease
 * @param step the change to apply
 */
public record EngineOrder(
    String orderId, String task, long fencingNumber, @JsonUnwrapped OrderStep step) {

  /** Checks that no component is null. */
  public EngineOrder {
    Objects.requireNonNull(orderId, "orderId");
    Objects.requireNonNull(task, "task");
    Objects.requireNonNull(step, "step");
  }
}
