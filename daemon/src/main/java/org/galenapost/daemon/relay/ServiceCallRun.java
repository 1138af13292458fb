package org.galenapost.daemon.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.retry.FailedAttempt;
import org.galenapost.core.routing.Route;
import org.galenapost.core.routing.RouteRequest;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.ServiceAnswer;
import org.galenapost.daemon.caller.Target;

/** One call of a plain service over its attempts; each attempt starts after the one before. */
final class ServiceCallRun {

  private final Exchange exchange;
  private final Target.ServiceCall call;
  private final SendPermit permit;
  private final ServiceCallContext context;
  private final Set<String> failedServerIds = new HashSet<>();
  private int attemptNumber;
  private Verdict worstVerdict = Verdict.NOT_RUN;

  ServiceCallRun(Exchange exchange, Target.ServiceCall call, SendPermit right, ServiceCallContext tools) {
    this.exchange = exchange;
    this.call = call;
    this.permit = right;
    this.context = tools;
  }

  void start() {
    context.retries().onFirstAttempt(workspace());
    startAttempt();
  }

  private void startAttempt() {
    Duration timeLeft = Duration.ofNanos(exchange.deadlineNanos() - context.clock().nanos());
    if (exchange.response().isEnded() || timeLeft.toMillis() <= 0) {
      reject(
          Refusal.notRun(
              RefusalReason.DEADLINE_EXCEEDED, "The caller's time ran out before the call left."));
      return;
    }
    attemptNumber++;
    context
        .router()
        .route(routeRequest())
        .peekLeft(this::reject)
        .peek(route -> send(route, timeLeft));
  }

  private void reject(Refusal refusal) {
    permit.release();
    refuse(refusal);
  }

  private void refuse(Refusal refusal) {
    boolean isWorse = worstVerdict.compareTo(refusal.verdict()) > 0;
    Verdict verdict = isWorse ? worstVerdict : refusal.verdict();
    exchange.refuse(new Refusal(verdict, refusal.reason(), refusal.detail(), refusal.retryAfter()));
  }

  private RouteRequest routeRequest() {
    return new RouteRequest(
        call.service(),
        true,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        exchange.profile().orElseThrow().urgency(),
        failedServerIds,
        false);
  }

  private void send(Route route, Duration timeout) {
    exchange.recordDecision(DecisionKind.ROUTED, route.server().id() + ": " + route.explanation());
    long sentNanos = context.clock().nanos();
    ServiceRequest request =
        new ServiceRequest(
            route.server(),
            exchange.request().method().name(),
            call.uri(),
            exchange.request().headers(),
            exchange.request().body(),
            exchange.requestId(),
            permit.attemptId(),
            timeout);
    Runnable over = context.pendingWork().begin();
    Runnable cancellation =
        context
            .client()
            .send(
                request,
                permit::trySend,
                outcome -> {
                  onOutcome(route, outcome, sentNanos);
                  over.run();
                });
    if (permit.attemptId().isEmpty()) {
      exchange.response().onEnd(cancellation);
    }
  }

  private void onOutcome(Route route, ServiceOutcome outcome, long sentNanos) {
    if (outcome instanceof ServiceOutcome.Answered answered) {
      route.recordFirstAnswer(context.clock().since(sentNanos));
      route.succeeded();
      answer(answered.answer());
    } else if (outcome instanceof ServiceOutcome.Failed failed) {
      onFailure(route, failed);
    } else {
      route.cancelled();
      refuse(
          Refusal.notRun(
              RefusalReason.PLATFORM_UNAVAILABLE, "The claim lapsed before the call left."));
    }
  }

  private void answer(ServiceAnswer answer) {
    permit.recordAnswer(answer);
    exchange.countToken();
    exchange.recordDecision(DecisionKind.FINISHED, "status " + answer.httpStatus());
    exchange.response().answer(answer);
  }

  private void onFailure(Route route, ServiceOutcome.Failed failure) {
    if (exchange.response().isEnded() && permit.attemptId().isEmpty()) {
      route.cancelled();
      return;
    }
    route.failed();
    worstVerdict = worstVerdict.compareTo(failure.verdict()) > 0 ? worstVerdict : failure.verdict();
    failedServerIds.add(route.server().id());
    exchange.recordDecision(DecisionKind.ATTEMPT_LOST, route.server().id() + ": " + failure.detail());
    context
        .retries()
        .retry(failedAttempt(failure))
        .peek(this::retryAfter)
        .peekLeft(refusal -> rejectAfterFailure(failure, refusal));
  }

  private FailedAttempt failedAttempt(ServiceOutcome.Failed failure) {
    return new FailedAttempt(
        workspace(),
        attemptNumber,
        failure.verdict(),
        permit.attemptId().isEmpty(),
        failure.reason(),
        exchange.deadlineNanos());
  }

  private void retryAfter(Duration pause) {
    exchange.recordDecision(DecisionKind.RETRIED, "after " + pause.toMillis() + " ms");
    context.scheduler().schedule(pause, this::startAttempt);
  }

  private void rejectAfterFailure(ServiceOutcome.Failed failure, Refusal refusal) {
    if (failure.verdict() == Verdict.NOT_RUN) {
      permit.release();
    } else {
      permit.recordOutcomeUnknown();
    }
    refuse(refusal);
  }

  private String workspace() {
    return exchange.workspace().orElseThrow().name();
  }
}
