package org.galenapost.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
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

    double expectedWaitMs() {
      return Math.max(0, waitMs - savedMs);
    }
  }

  /** An estimate with its random part, drawn once so that both comparisons use the same one. */
  private record Ranked(Estimate estimate, double jitterMs) {

    double withoutSavingsMs() {
      return estimate.waitMs() + jitterMs;
    }

    /**
     * The wait may not contain the time that the call's own prompt takes, which is the same at all
     * servers. The difference is therefore compared without a bound at zero: the server that saves
     * most is first among idle ones.
     */
    double withSavingsMs() {
      return withoutSavingsMs() - estimate.savedMs();
    }
  }

  /**
   * Returns the server with the shortest wait, less what is saved there.
   *
   * @param estimates the servers that may be chosen
   * @param jitterMs returns a random time that breaks ties, in milliseconds
   */
  static Optional<Choice> select(List<Estimate> estimates, DoubleSupplier jitterMs) {
    List<Ranked> ranked =
        estimates.stream().map(estimate -> new Ranked(estimate, jitterMs.getAsDouble())).toList();
    Optional<Ranked> first = ranked.stream().min(Comparator.comparing(Ranked::withSavingsMs));
    return first.map(best -> choice(best, ranked));
  }

  private static Choice choice(Ranked best, List<Ranked> ranked) {
    boolean isDueToHeldPrompt =
        best.estimate().savedTokens() > 0
            && ranked.stream().anyMatch(one -> one.withoutSavingsMs() < best.withoutSavingsMs());
    return new Choice(
        best.estimate().instance(),
        best.estimate().expectedWaitMs(),
        best.estimate().savedTokens(),
        isDueToHeldPrompt);
  }
}
