package org.galenapost.standins.engine;

import java.util.Optional;

/** The faults that an engine currently simulates. Not thread-safe. */
final class EngineFaults {

  private double slowFactor = 1;
  private boolean failsFast;
  private boolean reportsIdleLoad;
  private int pendingMidEventCuts;
  private int pendingDuplicateTokens;
  private int pendingSkippedTokens;
  private Optional<String> crashMarker;

  EngineFaults(String crashMarker) {
    setCrashMarker(crashMarker);
  }

  void setSlowFactor(Slow change) {
    slowFactor = change.factor() <= 0 ? 1 : change.factor();
  }

  double slowFactor() {
    return slowFactor;
  }

  void setFailsFast(Toggle change) {
    failsFast = change.enabled();
  }

  boolean failsFast() {
    return failsFast;
  }

  void setReportsIdleLoad(Toggle change) {
    reportsIdleLoad = change.enabled();
  }

  boolean reportsIdleLoad() {
    return reportsIdleLoad;
  }

  void setCrashMarker(String marker) {
    crashMarker = Optional.ofNullable(marker).filter(text -> !text.isEmpty());
  }

  /** Returns whether the prompt contains the crash marker. */
  boolean crashesOn(String prompt) {
    return crashMarker.map(prompt::contains).orElse(false);
  }

  void setMidEventCuts(NextTokens change) {
    pendingMidEventCuts = change.count();
  }

  /** Returns whether to cut the next event, and counts the cut as done. */
  boolean consumeMidEventCut() {
    return pendingMidEventCuts > 0 && pendingMidEventCuts-- > 0;
  }

  void setDuplicateTokens(NextTokens change) {
    pendingDuplicateTokens = change.count();
  }

  /** Returns whether to send the next token twice, and counts it as done. */
  boolean consumeDuplicateToken() {
    return pendingDuplicateTokens > 0 && pendingDuplicateTokens-- > 0;
  }

  void setSkippedTokens(NextTokens change) {
    pendingSkippedTokens = change.count();
  }

  /** Returns whether to skip the next token, and counts it as done. */
  boolean consumeSkippedToken() {
    return pendingSkippedTokens > 0 && pendingSkippedTokens-- > 0;
  }

  /**
   * Slows down decoding and prefill.
   *
   * @param factor how many times slower the engine runs; 1, 0 or less ends the fault
   */
  record Slow(double factor) {}

  /**
   * Enables or disables a fault.
   *
   * @param enabled whether the fault is enabled; null means true
   */
  record Toggle(Boolean enabled) {
    Toggle {
      enabled = enabled == null || enabled;
    }
  }

  /**
   * Sets the number of next tokens that a fault affects.
   *
   * @param count the number of tokens; null means one, 0 ends the fault
   */
  record NextTokens(Integer count) {
    NextTokens {
      count = count == null ? 1 : count;
    }
  }

  /**
   * Suspends all output and responses.
   *
   * @param ms the duration in milliseconds; 0 lasts until the thaw call
   */
  record Freeze(long ms) {}

  /**
   * Crashes the engine on prompts that contain a marker.
   *
   * @param marker the marker; null or empty ends the fault
   */
  record CrashOn(String marker) {}
}
