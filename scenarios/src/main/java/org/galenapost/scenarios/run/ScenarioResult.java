package org.galenapost.scenarios.run;

import java.time.Duration;
import java.util.Optional;

/**
 * The result of a scenario run.
 *
 * @param name the name of the scenario
 * @param without the mechanism that was replaced by a naive version, if any
 * @param failure the first failed step or expectation, or empty if the scenario passed
 * @param duration the duration of the run, including start and stop of the processes
 */
public record ScenarioResult(
    String name, Optional<String> without, Optional<String> failure, Duration duration) {

  /** Returns whether the scenario passed. */
  public boolean hasPassed() {
    return failure.isEmpty();
  }

  /** Returns the result as one line of {@code key=value} pairs. */
  public String toLogLine() {
    return "event=scenario name=%s without=%s passed=%s duration_ms=%d failure=\"%s\""
        .formatted(name, without.orElse("-"), hasPassed(), duration.toMillis(), failure.orElse(""));
  }
}
