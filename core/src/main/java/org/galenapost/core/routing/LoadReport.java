package org.galenapost.core.routing;

import java.time.Instant;
import java.util.Objects;

/**
 * The load that an engine reports for itself, which is delayed and may be wrong.
 *
 * @param running the number of requests in the running batch
 * @param waiting the number of requests in the engine's queue
 * @param tokensPerSecond the tokens generated per second
 * @param cacheUsed the used fraction of the prefix cache, between 0 and 1
 * @param reportedAt the engine's own timestamp; only a change of it is used, never its value
 */
public record LoadReport(
    int running, int waiting, double tokensPerSecond, double cacheUsed, Instant reportedAt) {

  /** Checks the arguments. */
  public LoadReport {
    Objects.requireNonNull(reportedAt, "reportedAt");
    if (running < 0 || waiting < 0) {
      throw new IllegalArgumentException(
          "running and waiting must not be negative, but were " + running + " and " + waiting);
    }
  }

  /** Returns the number of requests that the engine reports, running and waiting. */
  public int outstanding() {
    return running + waiting;
  }
}
