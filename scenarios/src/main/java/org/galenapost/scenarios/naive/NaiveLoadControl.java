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

/**
 * Naive versions of routing, admission and retry budgets, for comparison with the standard ones.
 */
final class NaiveLoadControl {

  private NaiveLoadControl() {}

  /** Returns, by scenario name, a set of mechanisms in which the named one is naive. */
  static Map<String, Mechanisms> mechanismsByName() {
    Mechanisms standard = Mechanisms.standard();
    return Map.of(
        "routing-random",
        standard.with(ServerChoice.class, (original, context) -> chooseRandom()),
        "routing-round-robin",
        standard.with(ServerChoice.class, (original, context) -> chooseRoundRobin()),
        "routing-least-in-flight",
        standard.with(ServerChoice.class, (original, context) -> chooseLeastInFlight()),
        "admission",
        standard.with(Admission.class, (original, context) -> admitAll()),
        "retry-budgets",
        standard.with(RetryBudget.class, (original, context) -> new UnlimitedRetries()));
  }

  private static ServerChoice chooseRandom() {
    return (request, eligible, now) -> choose(eligible.get(randomIndex(eligible)));
  }

  private static ServerChoice chooseRoundRobin() {
    AtomicInteger next = new AtomicInteger();
    return (request, eligible, now) ->
        choose(eligible.get(Math.floorMod(next.getAndIncrement(), eligible.size())));
  }

  private static ServerChoice chooseLeastInFlight() {
    return (request, eligible, now) -> {
      ServerLoad candidate = eligible.get(randomIndex(eligible));
      ServerLoad leastLoaded =
          eligible.stream().min(Comparator.comparingInt(ServerLoad::inFlight)).orElseThrow();
      return choose(candidate.inFlight() <= leastLoaded.inFlight() ? candidate : leastLoaded);
    };
  }

  private static int randomIndex(List<ServerLoad> eligible) {
    return ThreadLocalRandom.current().nextInt(eligible.size());
  }

  private static ServerChoice.Choice choose(ServerLoad load) {
    return new ServerChoice.Choice(load, "reason=naive");
  }

  private static Admission admitAll() {
    return (request, outcome) -> {
      outcome.onAdmitted(new UnlimitedPermit());
      return () -> {};
    };
  }

  private static final class UnlimitedPermit implements AdmissionPermit {

    @Override
    public Duration waited() {
      return Duration.ZERO;
    }

    @Override
    public void recordFirstAnswer(Duration latency) {
      // Admission does not adapt to latency.
    }

    @Override
    public void finished(int tokens) {
      // The permit reserves no capacity.
    }

    @Override
    public void abandoned(int tokens) {
      // The permit reserves no capacity.
    }
  }

  private static final class UnlimitedRetries implements RetryBudget {

    @Override
    public void onFirstAttempt(String workspace) {
      // Retries are unlimited, so no budget accrues.
    }

    @Override
    public Either<Refusal, Duration> retry(FailedAttempt attempt) {
      return Either.right(Duration.ZERO);
    }
  }
}
