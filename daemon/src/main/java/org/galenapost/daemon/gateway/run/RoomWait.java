package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.dispatch.PlacementUrgency;
import org.galenapost.core.dispatch.RoomQueue;
import org.galenapost.core.route.GatewayWorkspace;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/** Lets one call wait for room that its priority may fill. */
final class RoomWait {

  private final GatewayContext context;
  private final AcceptedCall call;
  private final CallTiming timing;
  private final Runnable dispatch;
  private final Consumer<Refusal> reject;
  private Optional<RoomQueue.Ticket> ticket = Optional.empty();

  /**
   * Creates the wait of a call that does not wait yet.
   *
   * @param context the collaborators of all calls
   * @param call the call
   * @param timing knows until when the call can be sent
   * @param dispatch chooses a server again
   * @param reject refuses the call
   */
  RoomWait(
      GatewayContext context,
      AcceptedCall call,
      CallTiming timing,
      Runnable dispatch,
      Consumer<Refusal> reject) {
    this.context = context;
    this.call = call;
    this.timing = timing;
    this.dispatch = dispatch;
    this.reject = reject;
  }

  boolean isWaiting() {
    return ticket.isPresent();
  }

  /**
   * Returns the server for the call. If only more urgent calls may fill the servers, the call
   * begins to wait or is refused.
   *
   * @param goesOn whether the call goes on with a stream that has begun, which may fill a server
   * @param chooser returns the server for a given urgency
   */
  Optional<Choice> choose(boolean goesOn, Function<PlacementUrgency, Optional<Choice>> chooser) {
    PlacementUrgency urgency = goesOn ? PlacementUrgency.FULL : call.urgency();
    Optional<Choice> choice =
        urgency.isRestricted() && isBehindOthers() ? Optional.empty() : chooser.apply(urgency);
    if (choice.isPresent()) {
      ticket.ifPresent(RoomQueue.Ticket::start);
      ticket = Optional.empty();
      return choice;
    }
    Optional<Choice> fullChoice =
        urgency.isRestricted() ? chooser.apply(PlacementUrgency.FULL) : Optional.empty();
    fullChoice.ifPresentOrElse(this::enter, this::leave);
    return Optional.empty();
  }

  private boolean isBehindOthers() {
    return ticket.isEmpty()
        && context.roomQueue().isAnyAhead(call.service().name(), call.priority());
  }

  private void enter(Choice fullChoice) {
    if (ticket.isPresent()) {
      return;
    }
    ticket =
        context
            .roomQueue()
            .enter(
                new RoomQueue.Waiter(
                    call.service().name(),
                    call.priority(),
                    call.workspace().map(GatewayWorkspace::name).orElse(""),
                    timing.latestSendNanos(fullChoice),
                    this::tryStart,
                    this::rejectTooLate));
  }

  private boolean tryStart() {
    dispatch.run();
    return !isWaiting();
  }

  private void rejectTooLate(Duration retryAfter) {
    ticket = Optional.empty();
    reject.accept(
        Refusal.notRun(RefusalReason.QUEUE_FULL, "more urgent calls need the room at the servers")
            .withRetryAfter(retryAfter));
  }

  /** Ends the wait. */
  void leave() {
    ticket.ifPresent(RoomQueue.Ticket::leave);
    ticket = Optional.empty();
  }
}
