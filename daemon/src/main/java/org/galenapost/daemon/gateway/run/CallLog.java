package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.upstream.SendFailure;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.log.LogEvent;

/** Writes the decisions about one call, each with the call's id. */
final class CallLog {

  private static final EventLog LOG = EventLog.of(CallLog.class);

  private final GatewayContext context;
  private final AcceptedCall call;

  CallLog(GatewayContext context, AcceptedCall call) {
    this.context = context;
    this.call = call;
  }

  void sent(SendPlan plan, int number) {
    line("call_sent")
        .with("send", number)
        .with("server", plan.instance().key().text())
        .with("expected_wait_ms", Math.round(plan.expectedWaitMs()))
        .with("copy_to", plan.copyTarget().map(ServerInstance::id).orElse("-"))
        .with("from_copy", plan.copySource().isPresent())
        .with("configuration_version", call.configurationVersion())
        .write();
  }

  void refused(Attempt attempt, ResponseHead head) {
    line("send_refused")
        .with("server", attempt.instance().key().text())
        .with("status", head.status())
        .with("other_instance", head.isMisdirected())
        .write();
  }

  void lost(Attempt attempt, SendFailure failure) {
    line("send_lost")
        .with("server", attempt.instance().key().text())
        .with("cause", failure.cause().logName())
        .with("was_sent", failure.wasSent())
        .with("events", attempt.events())
        .with("age_ms", attempt.age().toMillis())
        .with("detail", failure.detail())
        .write();
  }

  void failedAnswer(Attempt attempt, ResponseHead head) {
    line("answer_failed")
        .with("server", attempt.instance().key().text())
        .with("status", head.status())
        .write();
  }

  void budgetSpent() {
    line("repeat_refused").with("reason", "budget-spent").write();
  }

  void resumed(Attempt attempt, EventRelay relay) {
    Duration wait = attempt.age();
    boolean isFromCopy = attempt.plan().copySource().isPresent();
    context.meters().resumed(isFromCopy, wait);
    line("stream_resumed")
        .with("server", attempt.instance().key().text())
        .with("from_copy", isFromCopy)
        .with("after_event", relay.events() - attempt.events())
        .with("age_ms", wait.toMillis())
        .write();
  }

  void ended(int status, ServerInstance instance, String outcome) {
    context.meters().ended(call.route().kind(), status, elapsed());
    line("call_ended")
        .with("outcome", outcome)
        .with("status", status)
        .with("server", instance.key().text())
        .with("elapsed_ms", elapsed().toMillis())
        .write();
  }

  void callerGone() {
    line("call_ended")
        .with("outcome", "caller-gone")
        .with("elapsed_ms", elapsed().toMillis())
        .write();
  }

  void gaveUp(Refusal refusal, EventRelay relay) {
    context.meters().ended(call.route().kind(), refusal.reason().httpStatus(), elapsed());
    line("call_ended")
        .with("outcome", relay.hasBegun() ? "broken-off" : "refused")
        .with("status", refusal.reason().httpStatus())
        .with("reason", refusal.reason().wireName())
        .with("verdict", refusal.verdict().wireName())
        .with("events", relay.events())
        .with("elapsed_ms", elapsed().toMillis())
        .write();
  }

  private Duration elapsed() {
    return context.clock().since(call.startNanos());
  }

  private LogEvent line(String event) {
    return LOG.info(event).with("id", call.head().id()).with("route", call.route().name());
  }
}
