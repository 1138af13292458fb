package org.galenapost.core.rollout;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Decides whether a target is worse than the other versions by more than chance allows. */
final class RolloutVerdict {

  /** The answers from which on a target is judged, as the requirements say. */
  static final int MIN_ANSWERS = 10;

  /**
   * The probability below which a difference is not put down to chance. The test is repeated with
   * each report on each route, some thousand times in a roll-out. 1e-6 reverted a good version in 1
   * of 31 simulated roll-outs (6 slow answers of 28, beside none of 204).
   */
  private static final double CHANCE = 1e-8;

  /**
   * The probability below which a difference keeps all requests from moving to the target. A wrong
   * guess here only delays the move, so it can be larger than that for a verdict. At 0.01 one of 60
   * good versions stayed in doubt to the end, as several figures of each route are compared.
   */
  private static final double DOUBT_CHANCE = 1e-5;

  /** The standard errors by which few answers of the other versions may understate their share. */
  private static final double STANDARD_ERRORS = 2;

  /** An answer that takes over 2.5 times the median of the others is slow: 2^(5/4) = 2.4 times. */
  private static final int SLOW_BUCKETS = 5;

  /**
   * A server that crashes loses all its calls at once, so losses are not independent. They count
   * for a quarter, about the calls that a server of the largest deployment runs for one daemon.
   */
  private static final double LOSSES_PER_CRASH = 4;

  private RolloutVerdict() {}

  /** Returns why the target is bad, empty as long as the results do not show that. */
  static Optional<String> fault(RolloutResults results) {
    return fault(results, CHANCE);
  }

  /**
   * Returns whether the target may be bad: its results are worse than chance usually makes them.
   */
  static boolean isDoubtful(RolloutResults results) {
    return fault(results, DOUBT_CHANCE).isPresent();
  }

  private static Optional<String> fault(RolloutResults results, double chance) {
    Set<String> routes = new HashSet<>(results.target().keySet());
    Sample all = new Sample(0, 0, 0, 0);
    Sample allSlow = all;
    Sample allLost = all;
    for (String route : routes) {
      RouteTotals target = results.targetOn(route);
      RouteTotals others = results.othersOn(route);
      Sample failed =
          new Sample(target.failures(), target.answers(), others.failures(), others.answers());
      Sample slow = slowSample(target, others);
      Sample lost =
          new Sample(target.losses(), target.answers(), others.losses(), others.answers());
      Optional<String> fault = fault(failed, slow, lost, chance, "on route " + route);
      if (fault.isPresent()) {
        return fault;
      }
      all = all.plus(failed);
      allSlow = allSlow.plus(slow);
      allLost = allLost.plus(lost);
    }
    return fault(all, allSlow, allLost, chance, "in all");
  }

  private static Sample slowSample(RouteTotals target, RouteTotals others) {
    if (others.timed() < MIN_ANSWERS) {
      return new Sample(0, 0, 0, 0);
    }
    int limit = others.medianBucket() + SLOW_BUCKETS;
    return new Sample(
        target.slowerThan(limit), target.timed(), others.slowerThan(limit), others.timed());
  }

  private static Optional<String> fault(
      Sample failed, Sample slow, Sample lost, double chance, String where) {
    if (failed.isWorse(1, chance)) {
      return Optional.of(failed.describe("failed", where));
    }
    if (slow.isWorse(1, chance)) {
      return Optional.of(slow.describe("were slow", where));
    }
    return lost.isWorse(LOSSES_PER_CRASH, chance)
        ? Optional.of(lost.describe("were lost", where))
        : Optional.empty();
  }

  private record Sample(long bad, long answers, long badOthers, long answersOthers) {

    Sample plus(Sample other) {
      return new Sample(
          bad + other.bad,
          answers + other.answers,
          badOthers + other.badOthers,
          answersOthers + other.answersOthers);
    }

    /** Returns whether so many bad answers are improbable at the share of the other versions. */
    boolean isWorse(double clusterSize, double chance) {
      if (answers < MIN_ANSWERS || bad == 0) {
        return false;
      }
      double othersInClusters = answersOthers / clusterSize;
      // Laplace's estimate is defined without any answers.
      double mean = (badOthers / clusterSize + 1) / (othersInClusters + 2);
      double error = Math.sqrt(mean * (1 - mean) / (othersInClusters + 2));
      double expected = Math.min(1, mean + STANDARD_ERRORS * error);
      return upperTail(Math.round(answers / clusterSize), (long) (bad / clusterSize), expected)
          < chance;
    }

    String describe(String what, String where) {
      return bad
          + " of "
          + answers
          + " answers "
          + what
          + " "
          + where
          + ", at other versions "
          + badOthers
          + " of "
          + answersOthers;
    }
  }

  /** Returns the probability of at least {@code bad} bad answers among {@code answers}. */
  static double upperTail(long answers, long bad, double probability) {
    if (bad <= 0 || probability >= 1) {
      return 1;
    }
    double logOdds = Math.log(probability) - Math.log1p(-probability);
    double logTerm = answers * Math.log1p(-probability);
    double tail = 0;
    for (long k = 0; k <= answers; k++) {
      if (k >= bad) {
        tail += Math.exp(logTerm);
      }
      logTerm += Math.log(answers - k) - Math.log(k + 1) + logOdds;
    }
    return Math.min(1, tail);
  }
}
