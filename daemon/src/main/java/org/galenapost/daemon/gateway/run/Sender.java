package org.galenapost.daemon.gateway.run;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.dispatch.CallDemand;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.dispatch.ServerUse;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.quarantine.Placement;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.daemon.gateway.call.SendOptions;

/** Plans and makes the sends of one call. */
final class Sender {

  private static final long NANOS_PER_MS = 1_000_000;
  private static final int DEFAULT_URGENCY = 5;
  private static final int RESUME_URGENCY = 2;
  private static final int LOWEST_URGENCY = 9;

  private final GatewayContext context;
  private final AcceptedCall call;
  private final EventRelay relay;
  private final CallRun run;

  Sender(GatewayContext context, AcceptedCall call, EventRelay relay, CallRun run) {
    this.context = context;
    this.call = call;
    this.relay = relay;
    this.run = run;
  }

  /** Chooses the server of the next send. */
  Optional<Choice> choose(Placement placement, Set<InstanceKey> excluded) {
    Set<InstanceKey> avoided = new HashSet<>(excluded);
    if (placement instanceof Placement.Isolated isolated) {
      Set<String> claimed = isolated.claimedServerIds();
      context.directory().ready(call.service().name()).stream()
          .map(ServerInstance::key)
          .filter(key -> claimed.contains(key.text()))
          .forEach(avoided::add);
    }
    return context.chooser().choose(call.service(), call.head().demand(), avoided);
  }

  /** Plans a send that reads the prompt anew. */
  SendPlan plan(Choice choice, Placement placement, Set<InstanceKey> excluded) {
    boolean isIsolated = placement instanceof Placement.Isolated;
    return new SendPlan(
        choice.instance(),
        copyTarget(choice.instance(), excluded),
        Optional.empty(),
        isIsolated,
        choice.expectedWaitMs());
  }

  /**
   * Plans a send to the server that keeps a copy of a lost run's memory, if there is one. An engine
   * copies nothing before it has read the prompt.
   */
  Optional<SendPlan> planFromCopy(Attempt lost, Set<InstanceKey> excluded) {
    boolean mayHaveCopy = lost.eventCount() > 0;
    return lost.plan()
        .copyTarget()
        .filter(keeper -> mayHaveCopy && isUsable(keeper))
        .map(
            keeper ->
                new SendPlan(
                    keeper,
                    copyTarget(keeper, excluded),
                    Optional.of(keeper),
                    lost.plan().isIsolated(),
                    0));
  }

  private boolean isUsable(ServerInstance instance) {
    return !context.health().isAvoided(instance.key())
        && context.directory().ready(call.service().name()).stream()
            .anyMatch(ready -> ready.key().equals(instance.key()));
  }

  private Optional<ServerInstance> copyTarget(ServerInstance runner, Set<InstanceKey> excluded) {
    boolean takesCopies =
        call.route().isResumable()
            && call.service().engineMemory().filter(EngineMemory::takesCopies).isPresent();
    return takesCopies
        ? context.chooser().chooseCopyTarget(call.service(), call.head().demand(), runner, excluded)
        : Optional.empty();
  }

  /** Makes a planned send. */
  Attempt send(SendPlan plan, boolean isRepeat) {
    CallDemand demand = call.head().demand();
    long unread = plan.copySource().isPresent() ? 0 : demand.promptTokens();
    ServerUseTracker.Reservation use =
        context
            .useTracker()
            .reserve(plan.instance().key(), new ServerUse(1, unread, demand.memoryTokens()));
    Optional<ServerUseTracker.Reservation> copyUse =
        plan.copyTarget()
            .map(
                target ->
                    context
                        .useTracker()
                        .reserve(target.key(), new ServerUse(0, 0, demand.memoryTokens())));
    if (plan.isIsolated()) {
      context.requestGuard().claim(plan.instance().key().text(), call.digest());
    }
    Attempt attempt = new Attempt(context, run, relay, plan, use, copyUse);
    run.setCurrentAttempt(attempt);
    attempt.setServerCall(
        context
            .pool()
            .send(
                plan.instance(),
                call.head().id(),
                context.format().writeRequest(call.head(), call.bodyBuffer(), options(plan, isRepeat)),
                call.route().allowsRetry(),
                attempt));
    return attempt;
  }

  private SendOptions options(SendPlan plan, boolean isRepeat) {
    long leftMs = Math.max(1, (call.deadlineNanos() - context.clock().nanos()) / NANOS_PER_MS);
    int urgency =
        isRepeat ? RESUME_URGENCY : Math.min(LOWEST_URGENCY, DEFAULT_URGENCY + call.priority());
    return new SendOptions(
        plan.instance().id(),
        leftMs,
        call.workspace().map(workspace -> workspace.name()),
        relay.lastEventId(),
        plan.copyTarget().map(ServerInstance::address),
        plan.copySource().map(ServerInstance::address),
        urgency);
  }

  /** Ends the isolation of an attempt that is over. */
  void releaseIsolation(Attempt attempt) {
    if (attempt.plan().isIsolated()) {
      context.requestGuard().release(attempt.instance().key().text(), call.digest());
    }
  }
}
