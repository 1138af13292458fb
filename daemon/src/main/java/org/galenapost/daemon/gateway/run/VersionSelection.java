package org.galenapost.daemon.gateway.run;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.dispatch.CallDemand;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.dispatch.ServerConstraint;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.origin.StreamOrigin;
import org.galenapost.core.rollout.RolloutSend;
import org.galenapost.core.rollout.VersionShare;

/** Keeps the sends of one call to the versions that roll-outs allow, and counts them there. */
final class VersionSelection {

  private final GatewayContext context;
  private final AcceptedCall call;
  private final StreamBinding binding;
  private boolean hasSent;

  VersionSelection(GatewayContext context, AcceptedCall call, StreamBinding binding) {
    this.context = context;
    this.call = call;
    this.binding = binding;
  }

  /** Chooses a server of an allowed version; the target of a roll-out is tried first. */
  Optional<Choice> choose(CallDemand demand, Set<InstanceKey> excluded) {
    VersionShare share = share();
    ServerConstraint constraint =
        binding.constraint(excluded).withDeniedVersions(deniedVersions(share));
    Optional<Choice> atTarget =
        share
            .preferred()
            .filter(target -> binding.origin().isEmpty())
            .flatMap(target -> chooseAt(target, share, demand, excluded));
    return atTarget.or(() -> choose(demand, constraint));
  }

  private Optional<Choice> choose(CallDemand demand, ServerConstraint constraint) {
    return context.chooser().choose(call.service(), demand, constraint);
  }

  /**
   * Chooses among few servers of the target while it is on trial, so that each has the load that it
   * will have to bear.
   */
  private Optional<Choice> chooseAt(
      String target, VersionShare share, CallDemand demand, Set<InstanceKey> excluded) {
    List<ServerInstance> ready = context.directory().ready(call.service().name());
    List<ServerInstance> targets =
        ready.stream().filter(server -> server.runsVersion(target)).toList();
    int others = ready.size() - targets.size();
    long maxServers =
        share.serverRatio() < 1
            ? Math.max(1, (long) (share.serverRatio() * others))
            : targets.size();
    Set<InstanceKey> avoided = new HashSet<>(excluded);
    Rendezvous.rank(call.service().name(), targets, server -> server.key().text()).stream()
        .skip(maxServers)
        .map(ServerInstance::key)
        .forEach(avoided::add);
    return choose(demand, ServerConstraint.excluding(avoided).withSoftwareVersion(target));
  }

  private VersionShare share() {
    return context
        .rollouts()
        .map(rollouts -> rollouts.versions(call.service().name()))
        .orElse(VersionShare.ANY);
  }

  private Set<String> deniedVersions(VersionShare share) {
    Set<String> denied = new HashSet<>(share.denied());
    share
        .resumable()
        .filter(v -> binding.origin().map(StreamOrigin::softwareVersion).equals(Optional.of(v)))
        .ifPresent(denied::remove);
    return denied;
  }

  /** Returns whether the call may be sent to a server as far as its version decides. */
  boolean allows(ServerInstance server) {
    return !deniedVersions(share()).contains(server.softwareVersion());
  }

  /** Counts a send. Another daemon counts those that are handed over to it. */
  RolloutSend onSend(SendPlan plan) {
    if (context.rollouts().isEmpty() || plan.isHandover()) {
      return RolloutSend.NONE;
    }
    boolean isFirst = !hasSent;
    hasSent = true;
    return context
        .rollouts()
        .get()
        .onSend(
            call.service().name(), plan.instance().softwareVersion(), call.route().name(), isFirst);
  }
}
