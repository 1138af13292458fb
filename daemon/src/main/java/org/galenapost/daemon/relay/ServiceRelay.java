package org.galenapost.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HexFormat;
import org.galenapost.core.action.ActionAnswer;
import org.galenapost.core.action.ActionDecision;
import org.galenapost.core.action.ActionGate;
import org.galenapost.core.action.ActionIdentity;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.routing.Router;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.CallDigest;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.ServiceAnswer;
import org.galenapost.daemon.caller.Target;
import org.galenapost.daemon.lifecycle.PendingWork;
import org.galenapost.daemon.net.HttpClients;

/** Relays calls of plain services; one that is not idempotent is claimed before it is sent. */
public final class ServiceRelay {

  private static final int MAX_CLAIM_RETRIES = 4;
  private static final Duration INITIAL_CLAIM_BACKOFF = Duration.ofMillis(100);

  private final ActionGate gate;
  private final ServiceCallContext context;

  /**
   * Creates a relay.
   *
   * @param gate lets each action through at most once
   * @param router chooses servers
   * @param retries decides about repeated attempts
   * @param clients the HTTP clients
   * @param clock the clock of deadlines
   * @param scheduler delays repeated attempts
   * @param maxAnswerBytes the longest answer
   * @param pendingWork counts actions that are under way, also those whose caller has left
   */
  public ServiceRelay(
      ActionGate gate,
      Router router,
      RetryBudget retries,
      HttpClients clients,
      MonotonicClock clock,
      Scheduler scheduler,
      int maxAnswerBytes,
      PendingWork pendingWork) {
    this.gate = gate;
    ServiceClient client = new ServiceClient(clients, maxAnswerBytes);
    this.context = new ServiceCallContext(router, retries, client, clock, scheduler, pendingWork);
  }

  /** Calls the service and answers the exchange. */
  public void relay(Exchange exchange, Target.ServiceCall call) {
    if (exchange.profile().orElseThrow().idempotent()) {
      new ServiceCallRun(exchange, call, SendPermit.unlimited(), context).start();
    } else if (exchange.idempotencyKey().isPresent()) {
      claim(exchange, call, 0);
    } else {
      exchange.refuse(
          Refusal.notRun(
              RefusalReason.IDEMPOTENCY_KEY_MISSING,
              "A call that is not idempotent needs an Idempotency-Key."));
    }
  }

  private void claim(Exchange exchange, Target.ServiceCall call, int repeats) {
    gate.claim(identityOf(exchange, call))
        .whenComplete(
            (decision, error) -> {
              if (error == null) {
                decision
                    .peekLeft(refusal -> retryOrRefuse(exchange, call, refusal, repeats))
                    .peek(claimed -> onDecision(exchange, call, claimed));
              } else {
                exchange.refuse(claimFailure(error));
              }
            });
  }

  private static Refusal claimFailure(Throwable error) {
    return Refusal.notRun(RefusalReason.INTERNAL_ERROR, "The claim failed: " + error.getMessage());
  }

  /** Waits a little for the answer of the same action when it is just being sent elsewhere. */
  private void retryOrRefuse(Exchange exchange, Target.ServiceCall call, Refusal refusal, int repeats) {
    Duration pause = INITIAL_CLAIM_BACKOFF.multipliedBy(1L << repeats);
    boolean isInProgress = refusal.reason() == RefusalReason.ACTION_IN_PROGRESS;
    boolean hasTime = context.clock().nanos() + pause.toNanos() - exchange.deadlineNanos() < 0;
    if (!isInProgress || !hasTime || repeats == MAX_CLAIM_RETRIES) {
      exchange.refuse(refusal);
    } else if (!exchange.response().isEnded()) {
      exchange.recordDecision(DecisionKind.QUEUED, refusal.detail());
      context.scheduler().schedule(pause, () -> claim(exchange, call, repeats + 1));
    }
  }

  private void onDecision(Exchange exchange, Target.ServiceCall call, ActionDecision decision) {
    if (decision instanceof ActionDecision.Send send) {
      exchange.recordDecision(DecisionKind.CLAIMED, "attempt " + send.permit().attemptId());
      new ServiceCallRun(exchange, call, SendPermit.once(send.permit()), context).start();
    } else if (decision instanceof ActionDecision.Recorded recorded) {
      exchange.recordDecision(DecisionKind.FINISHED, "the action ran before; its answer is repeated");
      exchange.response().answer(toServiceAnswer(recorded.answer()));
    }
  }

  private static ServiceAnswer toServiceAnswer(ActionAnswer answer) {
    byte[] body = answer.body().orElse("").getBytes(StandardCharsets.UTF_8);
    return new ServiceAnswer(answer.httpStatus(), answer.contentType(), body);
  }

  private static ActionIdentity identityOf(Exchange exchange, Target.ServiceCall call) {
    byte[] digest =
        CallDigest.sha256(
            exchange.request().method().name(), call.uri(), exchange.request().body());
    return new ActionIdentity(
        exchange.workspace().orElseThrow().name(),
        exchange.idempotencyKey().orElseThrow(),
        HexFormat.of().formatHex(digest),
        call.service());
  }
}
