package org.galenapost.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The results of a roll-out by route.
 *
 * @param target the results of the target
 * @param others the results of all other versions in the same time
 */
public record RolloutResults(Map<String, RouteTotals> target, Map<String, RouteTotals> others) {

  /** No results. */
  static final RolloutResults NONE = new RolloutResults(Map.of(), Map.of());

  /** Copies the maps. */
  public RolloutResults {
    target = Map.copyOf(target);
    others = Map.copyOf(others);
  }

  /** Returns the sum of two results. */
  RolloutResults plus(RolloutResults other) {
    return new RolloutResults(sum(target, other.target), sum(others, other.others));
  }

  /** Returns the results with one more. */
  RolloutResults plus(boolean isTarget, String route, AnswerOutcome outcome, double firstEventMs) {
    Map<String, RouteTotals> added = Map.of(route, RouteTotals.NONE.plus(outcome, firstEventMs));
    return plus(
        isTarget ? new RolloutResults(added, Map.of()) : new RolloutResults(Map.of(), added));
  }

  private static Map<String, RouteTotals> sum(
      Map<String, RouteTotals> first, Map<String, RouteTotals> second) {
    Map<String, RouteTotals> totals = new HashMap<>(first);
    second.forEach((route, added) -> totals.merge(route, added, RouteTotals::plus));
    return totals;
  }

  RouteTotals targetOn(String route) {
    return target.getOrDefault(route, RouteTotals.NONE);
  }

  RouteTotals othersOn(String route) {
    return others.getOrDefault(route, RouteTotals.NONE);
  }

  /** Returns the number of answers of the target. */
  long targetAnswers() {
    return target.values().stream().mapToLong(RouteTotals::answers).sum();
  }

  /** Returns the routes that have had answers of another version. */
  Set<String> routes() {
    return others.keySet();
  }
}
