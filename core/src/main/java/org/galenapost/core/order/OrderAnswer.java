package org.galenapost.core.order;

/** The outcome of an order sent to an engine. */
public sealed interface OrderAnswer {

  /** The engine accepted the order. */
  record Applied() implements OrderAnswer {}

  /**
   * The engine rejected the order, as it has seen a higher fencing number.
   *
   * @param currentFencingNumber the highest fencing number that the engine has seen
   */
  record Fenced(long currentFencingNumber) implements OrderAnswer {}

  /**
   * The engine rejected the order for another reason.
   *
   * @param detail the engine's error text
   */
  record Rejected(String detail) implements OrderAnswer {}

  /**
   * No answer was received; the engine may still apply the order.
   *
   * @param detail the observed failure
   */
  record Lost(String detail) implements OrderAnswer {}
}
