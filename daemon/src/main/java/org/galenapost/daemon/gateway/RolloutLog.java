package org.galenapost.daemon.gateway;

import org.galenapost.core.rollout.RolloutListener;
import org.galenapost.core.rollout.RolloutOrder;
import org.galenapost.core.rollout.RolloutStage;
import org.galenapost.core.rollout.RolloutState;
import org.galenapost.daemon.log.EventLog;

/** Logs the stages of roll-outs and the writes of their status. */
final class RolloutLog implements RolloutListener {

  private static final EventLog LOG = EventLog.of(RolloutLog.class);

  @Override
  public void onStage(RolloutOrder order, RolloutStage stage, String reason) {
    LOG.info("rollout_stage_entered")
        .with("service", order.name())
        .with("target", order.target())
        .with("stage", stage)
        .with("order_version", order.version())
        .with("reason", reason)
        .write();
  }

  @Override
  public void onStatusWrite(RolloutOrder order, RolloutState state, String error) {
    (error.isEmpty() ? LOG.info("rollout_status_written") : LOG.warn("rollout_status_not_written"))
        .with("service", order.name())
        .with("target", order.target())
        .with("state", state.wireName())
        .with("order_version", order.version())
        .with("error", error)
        .write();
  }
}
