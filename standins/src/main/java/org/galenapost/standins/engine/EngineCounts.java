package org.galenapost.standins.engine;

import java.util.Map;
import java.util.TreeMap;

/** Counts the work that an engine has done. Not safe for threads. */
final class EngineCounts {

  private long tokensGenerated;
  private double prefillTokens;
  private long cachedTokens;
  private long requests;
  private long attached;
  private long cancelled;
  private final Map<String, Long> attempts = new TreeMap<>();

  void countGeneratedToken() {
    tokensGenerated++;
  }

  void countPrefillTokens(double tokens) {
    prefillTokens += tokens;
  }

  void countCachedTokens(int tokens) {
    cachedTokens += tokens;
  }

  void countRequest(String attemptId) {
    requests++;
    attempts.merge(attemptId, 1L, Long::sum);
  }

  void countAttached() {
    attached++;
  }

  void countCancelled() {
    cancelled++;
  }

  long tokensGenerated() {
    return tokensGenerated;
  }

  void reset() {
    tokensGenerated = 0;
    prefillTokens = 0;
    cachedTokens = 0;
    requests = 0;
    attached = 0;
    cancelled = 0;
    attempts.clear();
  }

  Report report() {
    return new Report(
        tokensGenerated,
        Math.round(prefillTokens),
        cachedTokens,
        requests,
        attached,
        cancelled,
        new TreeMap<>(attempts));
  }

  /**
   * All counts since the last reset.
   *
   * @param tokensGenerated tokens computed
   * @param prefillTokens prefix tokens read
   * @param cachedTokens prefix tokens that were cached
   * @param requests attempts started
   * @param attached readers that attached again
   * @param cancelled attempts cancelled
   * @param attempts how often each attempt id was started
   */
  record Report(
      long tokensGenerated,
      long prefillTokens,
      long cachedTokens,
      long requests,
      long attached,
      long cancelled,
      Map<String, Long> attempts) {}
}
