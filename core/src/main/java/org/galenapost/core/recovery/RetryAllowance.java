package org.galenapost.core.recovery;

/** Grants additional attempts, so that recovery cannot multiply the load without bound. */
@FunctionalInterface
public interface RetryAllowance {

  /**
   * Records a first attempt, which earns part of an additional one.
   *
   * @param workspace the workspace whose request is attempted
   */
  default void onFirstAttempt(String workspace) {}

  /**
   * Takes one additional attempt from what the workspace and this daemon may still spend.
   *
   * @param workspace the workspace whose request is attempted again
   * @return whether the attempt is granted
   */
  boolean tryTake(String workspace);
}
