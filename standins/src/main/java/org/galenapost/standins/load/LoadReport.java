package org.galenapost.standins.load;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * The report of a run.
 *
 * @param seed the seed of the workload
 * @param durationMs the time in milliseconds during which requests arrived
 * @param targets the caller ports that received the requests, as {@code IP:PORT}
 * @param goodputPerSecond correct answers completed within their deadline, per second
 * @param fairness Jain's fairness index over the ratio of useful answers to requests per workspace,
 *     where 1 means equal ratios
 * @param engines the work of the engines
 * @param actions the comparison of actions with the runs counted by the services
 * @param classes the results per class
 */
public record LoadReport(
    long seed,
    long durationMs,
    List<String> targets,
    double goodputPerSecond,
    double fairness,
    EngineWork engines,
    ActionCheck actions,
    List<ClassReport> classes) {

  /** Returns whether all answers were correct and all actions ran as reported to the callers. */
  @JsonIgnore
  public boolean isCorrect() {
    boolean areAnswersCorrect =
        classes.stream()
            .map(ClassReport::integrity)
            .allMatch(integrity -> integrity.mismatches() == 0 && integrity.duplicates() == 0);
    return areAnswersCorrect && actions.isCorrect();
  }

  /**
   * The work of the engines during the run. Work between the last reading of the counters and a
   * crash of the engine is not included.
   *
   * @param tokensGenerated tokens generated
   * @param tokensDelivered correct tokens received by callers
   * @param extraUse the ratio of generated to delivered tokens, minus 1
   * @param prefillTokens prefix tokens processed by prefill
   * @param prefixHitRate the ratio of cached prefix tokens to all prefix tokens
   * @param cancelled cancelled attempts
   */
  public record EngineWork(
      long tokensGenerated,
      long tokensDelivered,
      double extraUse,
      long prefillTokens,
      double prefixHitRate,
      long cancelled) {}

  /**
   * The comparison of actions with the runs counted by the services.
   *
   * @param keys the number of actions sent, one per idempotency key
   * @param runs the number of runs of these actions
   * @param doubleRuns actions that ran more than once
   * @param ranThoughRefused actions that ran although every response reported that they did not
   * @param missingRuns actions that did not run although a response reported that they did
   * @param unreadServices services whose run counters could not be read
   */
  public record ActionCheck(
      long keys,
      long runs,
      long doubleRuns,
      long ranThoughRefused,
      long missingRuns,
      int unreadServices) {

    /** Returns whether no action ran twice and all actions ran as reported. */
    @JsonIgnore
    public boolean isCorrect() {
      return doubleRuns == 0 && ranThoughRefused == 0 && missingRuns == 0 && unreadServices == 0;
    }
  }
}
