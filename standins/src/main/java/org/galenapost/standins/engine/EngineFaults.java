package org.galenapost.standins.engine;

import java.util.Optional;

/** The faults that are switched on. Not safe for threads. */
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

  boolean crashesOn(String prompt) {
    return crashMarker.map(prompt::contains).orElse(false);
  }

  void setMidEventCuts(NextTokens change) {
    pendingMidEventCuts = change.count();
  }

  boolean consumeMidEventCut() {
    return pendingMidEventCuts > 0 && pendingMidEventCuts-- > 0;
  }

  void setDuplicateTokens(NextTokens change) {
    pendingDuplicateTokens = change.count();
  }

  boolean consumeDuplicateToken() {
    return pendingDuplicateTokens > 0 && pendingDuplicateTokens-- > 0;
  }

  void setSkippedTokens(NextTokens change) {
    pendingSkippedTokens = change.count();
  }

  boolean consumeSkippedToken() {
    return pendingSkippedTokens > 0 && pendingSkippedTokens-- > 0;
  }

  /**
   * Slows token output and prefill down.
   *
   * @param factor how many times slower; 1 ends it
   */
  record Slow(double factor) {}

  /**
   * Switches a fault on or off.
   *
   * @param enabled whether it is on; absent means on
   */
  record Toggle(Boolean enabled) {
    Toggle {
      enabled = enabled == null || enabled;
    }
  }

  /**
   * Applies a fault to the next tokens.
   *
   * @param count the number of tokens; absent means one, 0 ends it
   */
  record NextTokens(Integer count) {
    NextTokens {
      count = count == null ? 1 : count;
    }
  }

  /**
   * Stops all output and answers.
   *
   * @param ms how long; 0 lasts until the thaw
   */
  record Freeze(long ms) {}

  /**
   * Crashes on prompts with a marker.
   *
   * @param marker the marker; empty ends it
   */
  record CrashOn(String marker) {}
}
