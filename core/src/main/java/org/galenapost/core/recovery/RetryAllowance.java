package org.galenapost.core.recovery;

/** Grants additional attempts, which bounds the load that recovery adds. */
@FunctionalInterface
public interface RetryAllowance {

  /**
   * Records a first attempt, which adds a fraction of an additional attempt to the budget.
   *
   * @param workspace the workspace of the request
   */
  default void onFirstAttempt(String workspace) {}

  /**
   * Charges one additional attempt to the budgets of the workspace and this daemon.
   *
   * @param workspace the workspace of the request
   * @return whether both budgets cover the attempt
   */
  boolean tryTake(String workspace);
}
