package org.galenapost.daemon.settings;

import java.time.Duration;

/**
 * The limits on retries of each service.
 *
 * @param ratio the retries allowed per call in the window
 * @param window the length of the sliding window
 * @param extraSends the retries that all daemons together may add per window beyond the ratio; a
 *     fraction is valid, since each daemon uses an equal part of it
 */
public record RepeatSettings(double ratio, Duration window, double extraSends) {

  private static final double DEFAULT_RATIO = 0.2;
  private static final double MAX_RATIO = 1_000;
  private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(10);
  private static final Duration MIN_WINDOW = Duration.ofMillis(100);
  private static final Duration MAX_WINDOW = Duration.ofHours(24);
  private static final double DEFAULT_EXTRA_SENDS = 50;
  private static final double MAX_EXTRA_SENDS = 1e12;

  static RepeatSettings bind(SectionReader section) {
    return new RepeatSettings(
        section.decimal("ratio", DEFAULT_RATIO, 0, MAX_RATIO),
        section.durationSeconds("window_s", DEFAULT_WINDOW, MIN_WINDOW, MAX_WINDOW),
        section.decimal("extra_sends", DEFAULT_EXTRA_SENDS, 0, MAX_EXTRA_SENDS));
  }
}
