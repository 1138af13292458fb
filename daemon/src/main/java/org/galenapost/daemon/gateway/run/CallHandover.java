package org.galenapost.daemon.gateway.run;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Decides whether one call is handed over to another daemon, because this one reaches no server of
 * its service. A call that was handed over to this daemon is not handed over again.
 */
final class CallHandover {

  /** Limits the daemons that one call is tried at; others may have lost their links as well. */
  private static final int MAX_DAEMONS = 3;

  /** Servers that accept no connection before a call is handed over without further evidence. */
  private static final int MIN_FAILED_CONNECTS = 2;

  private final GatewayContext context;
  private final AcceptedCall call;
  private final Set<InstanceKey> triedDaemons = new HashSet<>();
  private int failedConnects;

  CallHandover(GatewayContext context, AcceptedCall call) {
    this.context = context;
    this.call = call;
  }

  /** Returns the send that hands the call over, if that is the best way for it now. */
  Optional<SendPlan> plan() {
    boolean isNeeded = !isReached() || failedConnects >= MIN_FAILED_CONNECTS;
    if (call.handover().isPresent() || !isNeeded || triedDaemons.size() >= MAX_DAEMONS) {
      return Optional.empty();
    }
    Optional<SendPlan> plan =
        context
            .handoverPeers()
            .choose(call.service().name(), triedDaemons)
            .map(SendPlan::handoverTo);
    plan.ifPresent(chosen -> triedDaemons.add(chosen.instance().key()));
    return plan;
  }

  private boolean isReached() {
    return context.serverReach().isReached(call.service().name());
  }

  /**
   * Returns a refusal if this daemon cannot run a call that another one handed over, so that the
   * other one can try elsewhere while the caller waits.
   */
  Optional<Refusal> refusal() {
    if (isReached() || call.handover().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        Refusal.notRun(RefusalReason.NO_SERVER, "no server of the service can be reached"));
  }

  /** Records that a server accepted no connection. */
  void recordFailedConnect() {
    failedConnects++;
  }
}
