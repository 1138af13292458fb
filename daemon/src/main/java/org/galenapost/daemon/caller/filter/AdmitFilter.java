package org.galenapost.daemon.caller.filter;

import org.galenapost.core.admission.Admission;
import org.galenapost.core.admission.AdmissionCallback;
import org.galenapost.core.admission.AdmissionPermit;
import org.galenapost.core.admission.AdmissionRequest;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.profile.Urgency;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler.Cancellable;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;
import org.galenapost.daemon.caller.Target;

/** Lets a request on once admission allows it, and returns the permit with the answer's end. */
public final class AdmitFilter implements Filter {

  private static final int SERVICE_CALL_COST_TOKENS = 1;

  private final Admission admission;
  private final MonotonicClock clock;

  /** Asks the given admission. */
  public AdmitFilter(Admission admission, MonotonicClock clock) {
    this.admission = admission;
    this.clock = clock;
  }

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    Cancellable waiting = admission.admit(requestOf(exchange), new Callback(exchange, next));
    exchange.response().onEnd(waiting::cancel);
  }

  private static AdmissionRequest requestOf(Exchange exchange) {
    Target target = exchange.target().orElseThrow();
    return new AdmissionRequest(
        exchange.workspace().orElseThrow().name(),
        target.name(),
        urgency(exchange, target),
        costTokens(target),
        exchange.deadlineNanos());
  }

  /** A reader who continues a stream goes before new work. */
  private static Urgency urgency(Exchange exchange, Target target) {
    boolean isResume =
        target instanceof Target.Generation generation && generation.resumeHandle().isPresent();
    return isResume ? Urgency.HIGH : exchange.profile().orElseThrow().urgency();
  }

  private static int costTokens(Target target) {
    return target instanceof Target.Generation generation
        ? generation.request().maxTokens()
        : SERVICE_CALL_COST_TOKENS;
  }

  private final class Callback implements AdmissionCallback {

    private final Exchange exchange;
    private final FilterChain next;

    Callback(Exchange exchange, FilterChain next) {
      this.exchange = exchange;
      this.next = next;
    }

    @Override
    public void onAdmitted(AdmissionPermit permit) {
      exchange.recordDecision(
          DecisionKind.ADMITTED, "after " + permit.waited().toMillis() + " ms in the queue");
      long admittedNanos = clock.nanos();
      exchange.onFirstAnswer(() -> permit.recordFirstAnswer(clock.since(admittedNanos)));
      exchange.response().onEnd(() -> releasePermit(permit));
      if (!exchange.response().isEnded()) {
        next.proceed(exchange);
      }
    }

    private void releasePermit(AdmissionPermit permit) {
      if (exchange.response().refusal().isPresent()) {
        permit.abandoned(exchange.tokenCount());
      } else {
        permit.finished(exchange.tokenCount());
      }
    }

    @Override
    public void onRefused(Refusal refusal) {
      exchange.refuse(refusal);
    }
  }
}
