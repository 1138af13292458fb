package org.galenapost.daemon.caller.filter;

import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.profile.Profile;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Exchanges;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;
import org.galenapost.daemon.caller.Target;
import org.galenapost.daemon.explain.RequestOutcome;
import org.galenapost.daemon.explain.TraceStore;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.log.LogEvent;
import org.galenapost.daemon.metrics.DaemonMetrics;

/** Records each request at its end: counters, its trace and one line in the log. */
public final class RecordFilter implements Filter {

  private static final EventLog LOG = EventLog.of(RecordFilter.class);

  private final Exchanges exchanges;
  private final TraceStore traces;
  private final DaemonMetrics metrics;
  private final MonotonicClock clock;

  /** Records into the given places. */
  public RecordFilter(
      Exchanges exchanges, TraceStore traces, DaemonMetrics metrics, MonotonicClock clock) {
    this.exchanges = exchanges;
    this.traces = traces;
    this.metrics = metrics;
    this.clock = clock;
  }

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    traces.put(exchange.trace());
    exchange.response().onEnd(() -> record(exchange));
    exchanges.add(exchange);
    next.proceed(exchange);
  }

  private void record(Exchange exchange) {
    Duration elapsed = clock.since(exchange.startedNanos());
    Optional<Refusal> refusal = exchange.response().refusal();
    refusal.ifPresent(metrics::recordRefusal);
    refusal.ifPresent(
        reason ->
            exchange.recordDecision(
                DecisionKind.REFUSED, reason.reason().wireName() + ": " + reason.detail()));
    metrics.recordRequest(targetKind(exchange), exchange.response().httpStatus(), elapsed);
    RequestOutcome outcome = outcomeOf(exchange, elapsed);
    exchange.trace().recordOutcome(outcome);
    log(exchange.requestId(), outcome);
  }

  private static String targetKind(Exchange exchange) {
    return exchange
        .target()
        .map(target -> target instanceof Target.Generation ? "generation" : "service")
        .orElse("none");
  }

  private static RequestOutcome outcomeOf(Exchange exchange, Duration elapsed) {
    Optional<Refusal> refusal = exchange.response().refusal();
    return new RequestOutcome(
        exchange.workspace().map(Workspace::name),
        exchange.profile().map(Profile::name),
        exchange.target().map(Target::name),
        exchange.response().httpStatus(),
        refusal.map(reason -> reason.verdict().wireName()),
        refusal.map(reason -> reason.reason().wireName()),
        elapsed.toMillis());
  }

  private static void log(String requestId, RequestOutcome outcome) {
    LogEvent line = LOG.info("request_ended").with("request_id", requestId);
    outcome.workspace().ifPresent(value -> line.with("workspace", value));
    outcome.profile().ifPresent(value -> line.with("profile", value));
    outcome.target().ifPresent(value -> line.with("target", value));
    line.with("status", outcome.httpStatus());
    outcome.verdict().ifPresent(value -> line.with("verdict", value));
    outcome.reason().ifPresent(value -> line.with("reason", value));
    line.with("elapsed_ms", outcome.elapsedMs()).write();
  }
}
