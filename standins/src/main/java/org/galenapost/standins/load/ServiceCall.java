package org.galenapost.standins.load;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * One call to a plain service. An action that is sent several times with the same key counts as one
 * request. It is complete if any response reports that it ran.
 */
final class ServiceCall {

  private static final int OK = 200;
  private static final long RESEND_INTERVAL_MS = 5;

  private final Arrival arrival;
  private final long intendedNanos;
  private final CallContext context;
  private final ClassResults results;
  private final ActionLedger ledger;
  private final Runnable onEnded;
  private OptionalLong latencyNanos = OptionalLong.empty();
  private Optional<Problem> refusal = Optional.empty();
  private int pendingSends;

  ServiceCall(
      Arrival arrival,
      long intendedNanos,
      CallContext context,
      ClassResults results,
      ActionLedger ledger,
      Runnable onEnded) {
    this.arrival = arrival;
    this.intendedNanos = intendedNanos;
    this.context = context;
    this.results = results;
    this.ledger = ledger;
    this.onEnded = onEnded;
    this.pendingSends = isAction() ? arrival.requestClass().sends() : 1;
  }

  private boolean isAction() {
    return arrival.requestClass().kind() == RequestKind.ACTION;
  }

  /** Sends the request; an action is sent as many times as its class specifies. */
  void start() {
    results.recordSent();
    if (isAction()) {
      ledger.recordSent(arrival.key());
    }
    int sends = pendingSends;
    for (int i = 0; i < sends; i++) {
      context.scheduler().schedule(this::send, i * RESEND_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void send() {
    context.client().send(request()).whenComplete(this::onResponse);
  }

  private Request request() {
    RequestClass requestClass = arrival.requestClass();
    String path = "/v1/services/" + requestClass.service() + "/" + requestClass.path();
    RequestBuilder builder =
        new RequestBuilder(isAction() ? "POST" : "GET")
            .setUrl(context.targets().url(path))
            .setHeader("Authorization", "Bearer " + requestClass.workspaceKey())
            .setHeader("Galenapost-Profile", requestClass.profile());
    if (isAction()) {
      builder.setHeader("Idempotency-Key", arrival.key()).setBody(arrival.prompt());
    }
    return builder.build();
  }

  private synchronized void onResponse(Response response, Throwable failure) {
    if (failure != null) {
      ledger.recordMayHaveRun(arrival.key());
    } else if (response.getStatusCode() == OK) {
      recordRan();
    } else {
      onRefusal(Problem.parse(response.getStatusCode(), response.getResponseBody()));
    }
    pendingSends--;
    if (pendingSends == 0) {
      end();
    }
  }

  private void recordRan() {
    ledger.recordRan(arrival.key());
    if (latencyNanos.isEmpty()) {
      latencyNanos = OptionalLong.of(System.nanoTime() - intendedNanos);
    }
  }

  private void onRefusal(Problem problem) {
    if (problem.hasRanVerdict()) {
      recordRan();
      return;
    }
    refusal = Optional.of(problem);
    if (!problem.hasNotRunVerdict()) {
      ledger.recordMayHaveRun(arrival.key());
    }
  }

  private void end() {
    if (latencyNanos.isPresent()) {
      results.recordCompleted(latencyNanos.getAsLong());
      results.latencies(arrival).recordTotal(latencyNanos.getAsLong());
    } else {
      refusal.ifPresentOrElse(results::recordRefused, results::recordBroken);
    }
    onEnded.run();
  }
}
