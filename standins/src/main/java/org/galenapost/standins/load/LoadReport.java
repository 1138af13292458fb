package org.galenapost.standins.load;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * The report on a run.
 *
 * @param seed the workload's seed
 * @param durationMs how long requests arrived
 * @param targets where they went
 * @param goodputPerSecond whole and right answers within their deadline
 * @param fairness Jain's index over the workspaces' shares of answered requests; 1 is even
 * @param engines the engines' work
 * @param actions the check of actions against the services' counts
 * @param classes the classes
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

  /** Returns whether every answer was right and every action ran as it was said to. */
  @JsonIgnore
  public boolean isCorrect() {
    boolean areAnswersRight =
        classes.stream()
            .map(ClassReport::integrity)
            .allMatch(one -> one.mismatches() == 0 && one.duplicates() == 0);
    return areAnswersRight && actions.isCorrect();
  }

  /**
   * The work of the engines during the run. What an engine computed in its last moments before it
   * died is not seen.
   *
   * @param tokensGenerated tokens computed
   * @param tokensDelivered right tokens that reached readers
   * @param extraUse computed over delivered tokens, less one
   * @param prefillTokens prefix tokens read
   * @param prefixHitRate the share of prefix tokens that were cached
   * @param cancelled attempts cancelled
   */
  public record EngineWork(
      long tokensGenerated,
      long tokensDelivered,
      double extraUse,
      long prefillTokens,
      double prefixHitRate,
      long cancelled) {}

  /**
   * The check of actions against the services' counts.
   *
   * @param keys actions sent
   * @param runs runs of these actions
   * @param doubleRuns actions that ran more than once
   * @param ranThoughRefused actions that ran though every answer said that they did not
   * @param missingRuns actions that did not run though an answer said that they did
   * @param unreadServices services that did not tell their counts
   */
  public record ActionCheck(
      long keys,
      long runs,
      long doubleRuns,
      long ranThoughRefused,
      long missingRuns,
      int unreadServices) {

    /** Returns whether no action ran twice or against what was said. */
    @JsonIgnore
    public boolean isCorrect() {
      return doubleRuns == 0 && ranThoughRefused == 0 && missingRuns == 0 && unreadServices == 0;
    }
  }
}
