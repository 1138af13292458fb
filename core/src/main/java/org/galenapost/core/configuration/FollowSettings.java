package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * The timing of {@link ConfigurationFollower}.
 *
 * @param watchWait how long the platform holds a watch open when nothing changes
 * @param maxBackoff the upper limit of the delay before a failed call is retried, before jitter
 * @param pullPeriod the average time between pulls of missing changes from a random peer
 */
public record FollowSettings(Duration watchWait, Duration maxBackoff, Duration pullPeriod) {

  private static final Duration DEFAULT_MAX_BACKOFF = Duration.ofSeconds(5);
  private static final Duration DEFAULT_PULL_PERIOD = Duration.ofSeconds(2);

  /** Checks that no component is null. */
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
