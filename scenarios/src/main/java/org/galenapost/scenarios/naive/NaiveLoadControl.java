package org.galenapost.scenarios.naive;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenapost.core.admission.Admission;
import org.galenapost.core.admission.AdmissionPermit;
import org.galenapost.core.retry.FailedAttempt;
import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.routing.ServerChoice;
import org.galenapost.core.routing.ServerLoad;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.wiring.Mechanisms;

/** The simple ways to spread and bound load that the shipped ones are compared with. */
final class NaiveLoadControl {

  private NaiveLoadControl() {}

  static Map<String, Mechanisms> mechanismsByName() {
    Mechanisms standard = Mechanisms.standard();
    return Map.of(
        "routing-random",
        standard.with(ServerChoice.class, (shipped, context) -> random()),
        "routing-round-robin",
        standard.with(ServerChoice.class, (shipped, context) -> roundRobin()),
        "routing-least-in-flight",
        standard.with(ServerChoice.class, (shipped, context) -> leastInFlight()),
        "admission",
        standard.with(Admission.class, (shipped, context) -> everything()),
        "retry-budgets",
        standard.with(RetryBudget.class, (shipped, context) -> new UnlimitedRetries()));
  }

  private static ServerChoice random() {
    return (request, eligible, now) -> chosen(eligible.get(randomIndex(eligible)));
  }

  private static ServerChoice roundRobin() {
    AtomicInteger next = new AtomicInteger();
    return (request, eligible, now) ->
        chosen(eligible.get(Math.floorMod(next.getAndIncrement(), eligible.size())));
  }

  private static ServerChoice leastInFlight() {
    return (request, eligible, now) -> {
      ServerLoad first = eligible.get(randomIndex(eligible));
      ServerLoad least =
          eligible.stream().min(Comparator.comparingInt(ServerLoad::inFlight)).orElseThrow();
      return chosen(first.inFlight() <= least.inFlight() ? first : least);
    };
  }

  private static int randomIndex(List<ServerLoad> eligible) {
    return ThreadLocalRandom.current().nextInt(eligible.size());
  }

  private static ServerChoice.Choice chosen(ServerLoad load) {
    return new ServerChoice.Choice(load, "reason=naive");
  }

  private static Admission everything() {
    return (request, outcome) -> {
      outcome.onAdmitted(new FreePermit());
      return () -> {};
    };
  }

  private static final class FreePermit implements AdmissionPermit {

    @Override
    public Duration waited() {
      return Duration.ZERO;
    }

    @Override
    public void recordFirstAnswer(Duration latency) {
      // Nothing is learnt.
    }

    @Override
    public void finished(int tokens) {
      // Nothing was taken.
    }

    @Override
    public void abandoned(int tokens) {
      // Nothing was taken.
    }
  }

  private static final class UnlimitedRetries implements RetryBudget {

    @Override
    public void onFirstAttempt(String workspace) {
      // Nothing is earned.
    }

    @Override
    public Either<Refusal, Duration> retry(FailedAttempt attempt) {
      return Either.right(Duration.ZERO);
    }
  }
}
