package org.galenapost.scenarios.soak;

import java.util.List;

/**
 * What a soak found.
 *
 * @param seed the seed
 * @param calls the calls that were made
 * @param answered those of them that got a whole answer
 * @param undisturbed those that were made while nothing was disturbed, so that each had to be served
 * @param runs the runs at servers
 * @param faults the faults that were begun
 * @param violations what broke a promise, one line each
 */
public record SoakResult(
    long seed, int calls, int answered, int undisturbed, int runs, int faults, List<String> violations) {

  /** Returns whether every promise was kept. */
  public boolean hasPassed() {
    return violations.isEmpty();
  }

  /** Returns the result as one line. */
  public String line() {
    return "soak seed=%d %s calls=%d answered=%d calm=%d runs=%d faults=%d violations=%d"
        .formatted(
            seed,
            hasPassed() ? "held" : "FAILED",
            calls,
            answered,
            undisturbed,
            runs,
            faults,
            violations.size());
  }
}
