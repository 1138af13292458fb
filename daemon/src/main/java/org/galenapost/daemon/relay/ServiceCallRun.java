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
  private final SendRight right;
  private final ServiceTools tools;
  private final Set<String> failedServerIds = new HashSet<>();
  private int attemptNumber;
  private Verdict worstVerdict = Verdict.NOT_RUN;

  ServiceCallRun(Exchange exchange, Target.ServiceCall call, SendRight right, ServiceTools tools) {
    this.exchange = exchange;
    this.call = call;
    this.right = right;
    this.tools = tools;
  }

  void start() {
    tools.retries().onFirstAttempt(workspace());
    attempt();
  }

  private void attempt() {
    Duration timeLeft = Duration.ofNanos(exchange.deadlineNanos() - tools.clock().nanos());
    if (exchange.response().isEnded() || timeLeft.toMillis() <= 0) {
      giveUp(
          Refusal.notRun(
              RefusalReason.DEADLINE_EXCEEDED, "The caller's time ran out before the call left."));
      return;
    }
    attemptNumber++;
    tools
        .router()
        .route(routeRequest())
        .peekLeft(this::giveUp)
        .peek(route -> send(route, timeLeft));
  }

  private void giveUp(Refusal refusal) {
    right.release();
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
    exchange.decided(DecisionKind.ROUTED, route.server().id() + ": " + route.explanation());
    long sentNanos = tools.clock().nanos();
    ServiceRequest request =
        new ServiceRequest(
            route.server(),
            exchange.request().method().name(),
            call.uri(),
            exchange.request().headers(),
            exchange.request().body(),
            exchange.requestId(),
            right.attemptId(),
            timeout);
    Runnable over = tools.pendingWork().begin();
    Runnable cancellation =
        tools
            .client()
            .send(
                request,
                right::trySend,
                outcome -> {
                  ended(route, outcome, sentNanos);
                  over.run();
                });
    if (right.attemptId().isEmpty()) {
      exchange.response().onEnd(cancellation);
    }
  }

  private void ended(Route route, ServiceOutcome outcome, long sentNanos) {
    if (outcome instanceof ServiceOutcome.Answered answered) {
      route.recordFirstAnswer(tools.clock().since(sentNanos));
      route.succeeded();
      answer(answered.answer());
    } else if (outcome instanceof ServiceOutcome.Failed failed) {
      failed(route, failed);
    } else {
      route.cancelled();
      refuse(
          Refusal.notRun(
              RefusalReason.PLATFORM_UNAVAILABLE, "The claim lapsed before the call left."));
    }
  }

  private void answer(ServiceAnswer answer) {
    right.ran(answer);
    exchange.countToken();
    exchange.decided(DecisionKind.FINISHED, "status " + answer.httpStatus());
    exchange.response().answer(answer);
  }

  private void failed(Route route, ServiceOutcome.Failed failure) {
    if (exchange.response().isEnded() && right.attemptId().isEmpty()) {
      route.cancelled();
      return;
    }
    route.failed();
    worstVerdict = worstVerdict.compareTo(failure.verdict()) > 0 ? worstVerdict : failure.verdict();
    failedServerIds.add(route.server().id());
    exchange.decided(DecisionKind.ATTEMPT_LOST, route.server().id() + ": " + failure.detail());
    tools
        .retries()
        .retry(failedAttempt(failure))
        .peek(this::retryAfter)
        .peekLeft(refusal -> end(failure, refusal));
  }

  private FailedAttempt failedAttempt(ServiceOutcome.Failed failure) {
    return new FailedAttempt(
        workspace(),
        attemptNumber,
        failure.verdict(),
        right.attemptId().isEmpty(),
        failure.reason(),
        exchange.deadlineNanos());
  }

  private void retryAfter(Duration pause) {
    exchange.decided(DecisionKind.RETRIED, "after " + pause.toMillis() + " ms");
    tools.scheduler().schedule(pause, this::attempt);
  }

  private void end(ServiceOutcome.Failed failure, Refusal refusal) {
    if (failure.verdict() == Verdict.NOT_RUN) {
      right.release();
    } else {
      right.outcomeUnknown();
    }
    refuse(refusal);
  }

  private String workspace() {
    return exchange.workspace().orElseThrow().name();
  }
}
