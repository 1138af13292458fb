package org.galenapost.daemon.settings;

import java.time.Duration;

/**
 * The limits on retries of each service.
 *
 * @param ratio the retries allowed per call in the window
 * @param window the length of the sliding window
 * @param extraSends the retries that all daemons together may add per window beyond the ratio
 */
public record RepeatSettings(double ratio, Duration window, int extraSends) {

  private static final double DEFAULT_RATIO = 0.2;
  private static final double MAX_RATIO = 10;
  private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(10);
  private static final Duration MIN_WINDOW = Duration.ofMillis(100);
  private static final Duration MAX_WINDOW = Duration.ofHours(1);
  private static final int DEFAULT_EXTRA_SENDS = 50;
  private static final int MAX_EXTRA_SENDS = 1_000_000;

  static RepeatSettings bind(SectionReader section) {
    return new RepeatSettings(
        section.decimal("ratio", DEFAULT_RATIO, 0, MAX_RATIO),
        section.durationMs("window_ms", DEFAULT_WINDOW, MIN_WINDOW, MAX_WINDOW),
        section.count("extra_sends", DEFAULT_EXTRA_SENDS, 0, MAX_EXTRA_SENDS));
  }
}
