package org.galenapost.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.instance.ServerInstance;

/** Weighs what a held beginning of a prompt saves against the wait at its server. */
final class PromptPreference {

  private PromptPreference() {}

  /**
   * What is expected of a call at one server.
   *
   * @param instance the server
   * @param waitMs the wait if the server holds nothing of the prompt, in milliseconds
   * @param savedTokens the prompt tokens that the server need not read
   * @param savedMs the time that it takes the server to read as many tokens, in milliseconds
   */
  record Estimate(ServerInstance instance, double waitMs, double savedTokens, double savedMs) {

    /** Returns the wait less what is saved; a saving alone never makes it negative. */
    double expectedWaitMs() {
      return Math.min(waitMs, Math.max(0, waitMs - savedMs));
    }

    /**
     * The wait may not contain the time that the call's own prompt takes, which is the same at all
     * servers. The difference is therefore compared without a bound at zero: the server that saves
     * most is first among idle ones.
     */
    private double comparedWaitMs() {
      return waitMs - savedMs;
    }
  }

  /**
   * Returns the server with the shortest wait, less what is saved there.
   *
   * @param estimates the servers that may be chosen
   * @param pick returns the index of one of the given waits in milliseconds, of which there is at
   *     least one
   */
  static Optional<Choice> select(List<Estimate> estimates, ToIntFunction<double[]> pick) {
    if (estimates.isEmpty()) {
      return Optional.empty();
    }
    double[] waitsMs = estimates.stream().mapToDouble(Estimate::comparedWaitMs).toArray();
    Estimate best = estimates.get(pick.applyAsInt(waitsMs));
    boolean isDueToHeldPrompt =
        best.savedTokens() > 0 && estimates.stream().anyMatch(one -> one.waitMs() < best.waitMs());
    return Optional.of(
        new Choice(best.instance(), best.expectedWaitMs(), best.savedTokens(), isDueToHeldPrompt));
  }
}
