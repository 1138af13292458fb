package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * How configuration is followed.
 *
 * @param watchWait how long the platform holds a watch when nothing changes
 * @param maxBackoff the longest pause before a failed call is made again
 * @param pullPeriod how often one peer is asked for what is missing
 */
public record FollowSettings(Duration watchWait, Duration maxBackoff, Duration pullPeriod) {

  private static final Duration DEFAULT_MAX_BACKOFF = Duration.ofSeconds(5);
  private static final Duration DEFAULT_PULL_PERIOD = Duration.ofSeconds(2);

  /** Checks that every part is present. */
  public FollowSettings {
    Objects.requireNonNull(watchWait, "watchWait");
    Objects.requireNonNull(maxBackoff, "maxBackoff");
    Objects.requireNonNull(pullPeriod, "pullPeriod");
  }

  /** Returns the settings of a daemon that serves completions. */
  public static FollowSettings withWatchWait(Duration watchWait) {
    return new FollowSettings(watchWait, DEFAULT_MAX_BACKOFF, DEFAULT_PULL_PERIOD);
  }
}
