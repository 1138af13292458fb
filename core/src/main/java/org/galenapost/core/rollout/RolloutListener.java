package org.galenapost.core.rollout;

/** Is notified of roll-outs, for the log. */
public interface RolloutListener {

  /**
   * Handles a stage that this daemon has entered.
   *
   * @param order the order
   * @param stage the stage
   * @param reason why, empty if the stage was told by another daemon
   */
  void onStage(RolloutOrder order, RolloutStage stage, String reason);

  /**
   * Handles the result of a write of a status by this daemon.
   *
   * @param order the order
   * @param state the state that was to be written
   * @param error why the write failed, empty if it took effect
   */
  void onStatusWrite(RolloutOrder order, RolloutState state, String error);
}
