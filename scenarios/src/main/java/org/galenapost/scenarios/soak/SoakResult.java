package org.galenapost.scenarios.soak;

import java.util.List;

/**
 * The result of a soak.
 *
 * @param seed the seed
 * @param calls the number of calls
 * @param answered the number of calls that received a complete response
 * @param undisturbed the number of calls made while nothing was disturbed, which must all be served
 * @param resumed the number of calls that resume a stream
 * @param wentOn the number of these that a server ran
 * @param runs the number of runs at servers
 * @param faults the number of injected faults
 * @param violations the violated guarantees, one line each
 */
public record SoakResult(
    long seed,
    int calls,
    int answered,
    int undisturbed,
    int resumed,
    int wentOn,
    int runs,
    int faults,
    List<String> violations) {

  /** Returns whether no guarantee was violated. */
  public boolean hasPassed() {
    return violations.isEmpty();
  }

  /** Returns the result as one line. */
  public String line() {
    return ("soak seed=%d %s calls=%d answered=%d calm=%d resumed=%d went_on=%d runs=%d faults=%d"
            + " violations=%d")
        .formatted(
            seed,
            hasPassed() ? "held" : "FAILED",
            calls,
            answered,
            undisturbed,
            resumed,
            wentOn,
            runs,
            faults,
            violations.size());
  }
}
