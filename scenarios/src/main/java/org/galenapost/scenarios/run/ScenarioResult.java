package org.galenapost.scenarios.run;

import java.time.Duration;
import java.util.Optional;

/**
 * How a scenario ended.
 *
 * @param name the scenario
 * @param without the mechanism that was replaced, if one was
 * @param failure what did not hold; empty if everything held
 * @param duration how long it ran
 */
public record ScenarioResult(
    String name, Optional<String> without, Optional<String> failure, Duration duration) {

  /** Returns whether everything held. */
  public boolean hasPassed() {
    return failure.isEmpty();
  }

  /** Returns one key=value line. */
  public String toLogLine() {
    return "event=scenario name=%s without=%s passed=%s duration_ms=%d failure=\"%s\""
        .formatted(name, without.orElse("-"), hasPassed(), duration.toMillis(), failure.orElse(""));
  }
}
