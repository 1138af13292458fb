package org.galenapost.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class RolloutVerdictTest {

  private static final String ROUTE = "r1";

  /** Guards against a shift of all requests to a version of which a third of few answers failed. */
  @Test
  void doubtsTargetThatIsNotYetProvedBad() {
    RolloutResults results = results(20, 6, 200, 1);

    assertThat(RolloutVerdict.fault(results)).isEmpty();
    assertThat(RolloutVerdict.isDoubtful(results)).isTrue();
  }

  /** Guards against doubt that keeps sound versions from being rolled out. */
  @Test
  void doesNotDoubtTargetThatFailsLikeTheOthers() {
    assertThat(RolloutVerdict.isDoubtful(results(20, 0, 200, 0))).isFalse();
    assertThat(RolloutVerdict.isDoubtful(results(20, 3, 200, 28))).isFalse();
  }

  @Test
  void findsFaultInTargetThatMostlyFails() {
    assertThat(RolloutVerdict.fault(results(20, 14, 200, 1))).isPresent();
  }

  private static RolloutResults results(
      long answers, long failures, long answersOfOthers, long failuresOfOthers) {
    return new RolloutResults(
        Map.of(ROUTE, new RouteTotals(answers, failures, 0, Map.of())),
        Map.of(ROUTE, new RouteTotals(answersOfOthers, failuresOfOthers, 0, Map.of())));
  }
}
