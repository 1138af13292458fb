package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.galenapost.core.dispatch.SendBudget;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.call.HandoverTicket;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.upstream.SendFailure;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.log.LogEvent;

/** Logs the events of one call, each with the call id, and counts how the call ends. */
final class CallLog {

  private static final EventLog LOG = EventLog.of(CallLog.class);

  private final GatewayContext context;
  private final AcceptedCall call;

  CallLog(GatewayContext context, AcceptedCall call) {
    this.context = context;
    this.call = call;
  }

  void logSent(SendPlan plan, int sendNumber, Optional<RetryCause> cause) {
    event("call_sent")
        .with("service", call.service().name())
        .with("send", sendNumber)
        .with("repeat", cause.map(RetryCause::logName).orElse("no"))
        .with("server", plan.instance().key().text())
        .with("server_version", plan.instance().softwareVersion())
        .with("resumes", call.head().resumedStreamId().orElse("-"))
        .with("after_event", call.head().resumeAfter().orElse(0))
        .with("expected_wait_ms", Math.round(plan.expectedWaitMs()))
        .with("saved_tokens", plan.savedTokens())
        .with("copy_to", plan.copyTarget().map(ServerInstance::id).orElse("-"))
        .with("from_copy", plan.copySource().isPresent())
        .with("handed_over", plan.isHandover())
        .with("handed_over_by", call.handover().map(HandoverTicket::sender).orElse("-"))
        .with("configuration_version", call.configurationVersion())
        .write();
  }

  void logPermitDenied(SendPlan plan) {
    event("permit_denied")
        .with("server", plan.instance().key().text())
        .with("limit_per_s", context.limits().requestsPerS(plan.instance().key()).orElse(0))
        .write();
  }

  void logSendRefused(Attempt attempt, ResponseHead head) {
    event(attempt, "send_refused")
        .with("status", head.status())
        .with("not_run", head.isNotRun())
        .with("other_instance", head.isMisdirected())
        .with("age_ms", attempt.elapsed().toMillis())
        .with("pause_ms", head.requestedPause().map(Duration::toMillis).orElse(0L))
        .write();
  }

  void logSendLost(Attempt attempt, SendFailure failure) {
    event(attempt, "send_lost")
        .with("cause", failure.cause().logName())
        .with("was_sent", failure.wasSent())
        .with("events", attempt.eventCount())
        .with("age_ms", attempt.elapsed().toMillis())
        .with("detail", failure.detail())
        .write();
  }

  /** Logs whether the host of a lost server accepts connections; if not, the loss counts. */
  void logServerChecked(Attempt attempt, boolean isReachable) {
    event("lost_server_checked")
        .with("server", attempt.instance().key().text())
        .with("reachable", isReachable)
        .with("events", attempt.eventCount())
        .with("digest", call.digest().hex())
        .write();
  }

  void logErrorResponse(Attempt attempt, ResponseHead head) {
    event(attempt, "answer_failed")
        .with("status", head.status())
        .with("sealed", head.isSigned())
        .with("age_ms", attempt.elapsed().toMillis())
        .write();
  }

  /** Logs the outcome of a retry beyond this daemon's own share of the budget. */
  void logRetryBorrowed(boolean isGranted) {
    LogEvent event =
        isGranted
            ? event("repeat_borrowed")
            : event("repeat_refused").with("reason", "budget-spent");
    SendBudget.Usage usage = context.budget().usage(call.service().name());
    event
        .with("service", call.service().name())
        .with("first_sends", usage.firstSends())
        .with("spent", usage.retries())
        .with("fixed", String.format(Locale.ROOT, "%.2f", usage.fixedRetries()))
        .write();
  }

  void recordResumed(Attempt attempt, EventRelay relay) {
    Duration elapsed = attempt.elapsed();
    boolean isFromCopy = attempt.plan().copySource().isPresent();
    context.meters().recordResume(isFromCopy, elapsed);
    event("stream_resumed")
        .with("server", attempt.instance().key().text())
        .with("server_version", attempt.instance().softwareVersion())
        .with("from_copy", isFromCopy)
        .with("after_event", relay.eventCount() - attempt.eventCount())
        .with("age_ms", elapsed.toMillis())
        .write();
  }

  void recordCompleted(Attempt attempt, ResponseHead head, String outcome) {
    context.meters().recordCall(call.route().kind(), head.status(), elapsed());
    event(attempt, "call_ended")
        .with("outcome", outcome)
        .with("status", head.status())
        .with("sealed", head.isSigned())
        .with("age_ms", attempt.elapsed().toMillis())
        .with("elapsed_ms", elapsed().toMillis())
        .write();
  }

  void logCallerDisconnected(EventRelay relay) {
    event("call_ended")
        .with("outcome", "caller-gone")
        .with("events", relay.eventCount())
        .with("remaining_ms", call.remaining(context.clock()).toMillis())
        .with("elapsed_ms", elapsed().toMillis())
        .write();
  }

  void recordRejected(Refusal refusal, EventRelay relay) {
    context.meters().recordCall(call.route().kind(), refusal.reason().httpStatus(), elapsed());
    event("call_ended")
        .with("outcome", relay.hasStarted() ? "broken-off" : "refused")
        .with("status", refusal.reason().httpStatus())
        .with("reason", refusal.reason().wireName())
        .with("verdict", refusal.verdict().wireName())
        .with("detail", refusal.detail())
        .with("events", relay.eventCount())
        .with("elapsed_ms", elapsed().toMillis())
        .write();
  }

  private Duration elapsed() {
    return context.clock().since(call.startNanos());
  }

  /** Begins the event of one send, with the connection that carried it. */
  private LogEvent event(Attempt attempt, String name) {
    return event(name)
        .with("server", attempt.instance().key().text())
        .with("connection", attempt.trace().connection())
        .with("connection_sends", attempt.trace().sends());
  }

  private LogEvent event(String name) {
    return LOG.info(name).with("id", call.head().id()).with("route", call.route().name());
  }
}
