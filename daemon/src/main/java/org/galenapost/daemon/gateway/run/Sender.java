package org.galenapost.daemon.gateway.run;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.dispatch.CallDemand;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.dispatch.PlacementUrgency;
import org.galenapost.core.dispatch.ServerUse;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.quarantine.Placement;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.daemon.gateway.call.HandoverTicket;
import org.galenapost.daemon.gateway.call.SendOptions;
import org.galenapost.daemon.gateway.upstream.OutgoingCall;

/** Chooses servers for one call, plans its sends and starts them. */
final class Sender {

  private static final long NANOS_PER_MS = 1_000_000;

  /** Engines rank requests from 0, the most urgent, to 9, the least urgent. */
  private static final int LOWEST_URGENCY = 9;

  /** Each priority has two urgencies; the first is that of streams that go on. */
  private static final int URGENCIES_PER_PRIORITY = 2;

  private final GatewayContext context;
  private final AcceptedCall call;
  private final EventRelay relay;
  private final StreamBinding binding;
  private final CallRun run;
  private final OutgoingCall outgoingCall;
  private final VersionSelection versions;
  private Attempt lastReader;

  Sender(
      GatewayContext context,
      AcceptedCall call,
      EventRelay relay,
      StreamBinding binding,
      CallRun run) {
    this.context = context;
    this.call = call;
    this.relay = relay;
    this.binding = binding;
    this.run = run;
    this.versions = new VersionSelection(context, call, binding);
    this.outgoingCall = new OutgoingCall(call.head().id(), call.route().allowsRetry());
  }

  /**
   * Chooses the server of the next send. Avoids excluded servers and, for an isolated call, servers
   * that run other suspects.
   *
   * @param placement whether the call is isolated
   * @param excluded the servers that must not be chosen
   * @param urgency how much of a server the call may fill
   */
  Optional<Choice> choose(
      Placement placement, Set<InstanceKey> excluded, PlacementUrgency urgency) {
    Set<InstanceKey> avoided = new HashSet<>(excluded);
    if (placement instanceof Placement.Isolated isolated) {
      Set<String> claimed = isolated.claimedServerIds();
      context.directory().ready(call.service().name()).stream()
          .map(ServerInstance::key)
          .filter(key -> claimed.contains(key.text()))
          .forEach(avoided::add);
    }
    return versions.choose(call.head().demand().withUrgency(urgency), avoided);
  }

  /** Plans a send that processes the whole prompt, without a memory copy. */
  SendPlan plan(Choice choice, Placement placement, Set<InstanceKey> excluded) {
    boolean isIsolated = placement instanceof Placement.Isolated;
    return new SendPlan(
        choice.instance(),
        copyTarget(choice.instance(), excluded),
        Optional.empty(),
        isIsolated,
        false,
        choice.expectedWaitMs(),
        (long) choice.savedTokens(),
        choice.isDueToHeldPrompt());
  }

  /**
   * Plans a send to the server that holds a copy of a lost run's memory, if there is a usable one.
   * An engine copies nothing before it has processed the prompt.
   */
  Optional<SendPlan> planFromCopy(Attempt lost, Set<InstanceKey> excluded) {
    boolean mayHaveCopy = lost.eventCount() > 0;
    return lost.plan()
        .copyTarget()
        .filter(copyHolder -> mayHaveCopy && isUsable(copyHolder))
        .map(
            copyHolder ->
                new SendPlan(
                    copyHolder,
                    copyTarget(copyHolder, excluded),
                    Optional.of(copyHolder),
                    lost.plan().isIsolated(),
                    false,
                    0,
                    0,
                    false));
  }

  private boolean isUsable(ServerInstance instance) {
    return versions.allows(instance)
        && !context.health().isAvoided(instance.key())
        && !context.health().mayHaveRestarted(instance.key())
        && !context.pauses().isPaused(instance.key())
        && context.directory().ready(call.service().name()).stream()
            .anyMatch(ready -> ready.key().equals(instance.key()));
  }

  private Optional<ServerInstance> copyTarget(ServerInstance server, Set<InstanceKey> excluded) {
    boolean canCopy =
        call.route().isResumable()
            && call.service().engineMemory().filter(EngineMemory::takesCopies).isPresent();
    return canCopy
        ? context.chooser().chooseCopyTarget(call.service(), call.head().demand(), server, excluded)
        : Optional.empty();
  }

  /** Reserves capacity on the servers of a plan and sends the call. */
  Attempt send(SendPlan plan, FullHttpRequest request) {
    CallDemand demand = call.head().demand();
    ServerUse ahead = context.useTracker().total(plan.instance());
    ServerUseTracker.Reservation reservation =
        context.useTracker().reserve(plan.instance().key(), useOf(plan, demand));
    Optional<ServerUseTracker.Reservation> copyReservation =
        plan.copyTarget()
            .map(
                target ->
                    context
                        .useTracker()
                        .reserve(target.key(), new ServerUse(0, 0, demand.memoryTokens())));
    context.meters().recordHeldPrompt(plan.savedTokens(), plan.isDueToHeldPrompt());
    if (plan.isIsolated()) {
      context.requestGuard().claim(plan.instance().key().text(), call.digest());
    }
    long unreadTokens = useOf(plan, demand).unreadTokens();
    Attempt attempt =
        new Attempt(
            context,
            run,
            relay,
            plan,
            reservation,
            copyReservation,
            versions.onSend(plan),
            elapsed ->
                context.speeds().onFirstEvent(plan.instance().key(), ahead, unreadTokens, elapsed));
    run.setCurrentAttempt(attempt);
    attempt.setServerCall(context.pool().send(plan.instance(), outgoingCall, request, attempt));
    return attempt;
  }

  /** Records that a server has read the prompt, with the first events of each attempt. */
  void recordPromptRead(Attempt attempt) {
    boolean hasReadPrompt = !attempt.plan().isHandover() && attempt.plan().copySource().isEmpty();
    if (attempt != lastReader && hasReadPrompt) {
      lastReader = attempt;
      context
          .promptReads()
          .onPromptRead(attempt.instance().key(), call.head().demand().promptParts());
    }
  }

  private static ServerUse useOf(SendPlan plan, CallDemand demand) {
    if (plan.isHandover()) {
      return new ServerUse(1, 0, 0);
    }
    long unprocessedTokens =
        plan.copySource().isPresent() ? 0 : Math.max(0, demand.promptTokens() - plan.savedTokens());
    return new ServerUse(1, unprocessedTokens, demand.memoryTokens());
  }

  /** Returns the request that sends the call to a server. */
  FullHttpRequest serverRequest(SendPlan plan) {
    return context.format().writeRequest(call.head(), call.bodyBuffer(), options(plan));
  }

  /**
   * Returns the request that hands the call over to another daemon.
   *
   * @param runCount the number of servers that may have run the call
   * @param isFirstSendCounted whether the first send is counted in the retry budget
   */
  FullHttpRequest handoverRequest(int runCount, boolean isFirstSendCounted) {
    Optional<String> stream =
        relay.hasStarted()
            ? call.head().resumedStreamId().or(() -> Optional.of(call.head().id()))
            : call.head().resumedStreamId();
    FullHttpRequest request =
        context
            .format()
            .writeHandover(
                call.head(), call.bodyBuffer(), remainingMs(), relay.lastEventId(), stream);
    context
        .tickets()
        .write(
            new HandoverTicket(
                call.head().id(),
                context.daemonId(),
                runCount,
                isFirstSendCounted,
                call.configurationVersion(),
                binding.origin()),
            request.headers());
    return request;
  }

  private long remainingMs() {
    return Math.max(1, (call.deadlineNanos() - context.clock().nanos()) / NANOS_PER_MS);
  }

  private SendOptions options(SendPlan plan) {
    return new SendOptions(
        plan.instance().id(),
        remainingMs(),
        call.workspace().map(workspace -> workspace.name()),
        relay.lastEventId(),
        plan.copyTarget().map(ServerInstance::address),
        plan.copySource().map(ServerInstance::address),
        engineUrgency());
  }

  /**
   * Returns the rank of the call at an engine. A call of a higher priority goes first. Among equals
   * a stream that goes on does, since its reader waits in the middle of the text; a call of which
   * nothing has arrived is the same whether it is sent for the first time or again.
   */
  private int engineUrgency() {
    boolean goesOn = relay.hasStarted() || call.head().resumeAfter().isPresent();
    int first = URGENCIES_PER_PRIORITY * call.priority();
    return goesOn ? Math.min(LOWEST_URGENCY - 1, first) : Math.min(LOWEST_URGENCY, first + 1);
  }

  /** Releases the server of an isolated attempt for other suspects. */
  void releaseIsolation(Attempt attempt) {
    if (attempt.plan().isIsolated()) {
      context.requestGuard().release(attempt.instance().key().text(), call.digest());
    }
  }
}
