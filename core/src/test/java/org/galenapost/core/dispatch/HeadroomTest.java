package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class HeadroomTest {

  private static final CallDemand DEMAND = new CallDemand(8_000, 700);
  private static final PlacementUrgency LOWEST = PlacementUrgency.of(2, Set.of(0, 1, 2));

  /** Guards against a change for services whose routes have one priority. */
  @Test
  void restrictsNothingWithOnePriority() {
    assertThat(PlacementUrgency.of(1, Set.of(1))).isEqualTo(PlacementUrgency.FULL);
    assertThat(PlacementUrgency.of(7, Set.of(1))).isEqualTo(PlacementUrgency.FULL);
    assertThat(PlacementUrgency.of(0, Set.of())).isEqualTo(PlacementUrgency.FULL);
  }

  /** Guards against urgencies that do not follow the order of the priorities. */
  @Test
  void leavesMoreFreeTheLowerThePriority() {
    assertThat(PlacementUrgency.of(0, Set.of(0, 1, 2))).isEqualTo(PlacementUrgency.FULL);
    assertThat(PlacementUrgency.of(1, Set.of(0, 1, 2)).fillShare()).isEqualTo(0.875);
    assertThat(LOWEST.fillShare()).isEqualTo(0.75);
    assertThat(PlacementUrgency.of(9, Set.of(0, 1, 2))).isEqualTo(LOWEST);
  }

  /** Guards against less urgent calls that fill memory, queue or slots. */
  @Test
  void leavesMemoryQueueAndSlotsToUrgentCalls() {
    assertThat(isLeft(new ServerUse(4, 0, 50_000), LOWEST)).isTrue();
    assertThat(isLeft(new ServerUse(4, 0, 52_000), LOWEST)).isFalse();
    assertThat(isLeft(new ServerUse(4, 13_000, 30_000), LOWEST)).isFalse();
    assertThat(isLeft(new ServerUse(48, 0, 30_000), LOWEST)).isFalse();
    assertThat(isLeft(new ServerUse(64, 40_000, 88_000), PlacementUrgency.FULL)).isTrue();
  }

  /** Guards against short prompts that wait at an engine behind work of many times their own. */
  @Test
  void leavesAQueueInProportionToTheWorkOfTheCall() {
    CallDemand shortPrompt = new CallDemand(2_000, 70).withUrgency(LOWEST);

    assertThat(Headroom.isLeft(88_000, 64, 8, new ServerUse(4, 3_000, 30_000), shortPrompt))
        .isTrue();
    assertThat(Headroom.isLeft(88_000, 64, 8, new ServerUse(4, 3_100, 30_000), shortPrompt))
        .isFalse();
  }

  /** Guards against a call that no server would ever take. */
  @Test
  void admitsAnyCallToAnIdleEngine() {
    CallDemand large = new CallDemand(80_000, 700).withUrgency(LOWEST);

    assertThat(Headroom.isLeft(88_000, 64, 8, ServerUse.NONE, large)).isTrue();
  }

  private static boolean isLeft(ServerUse use, PlacementUrgency urgency) {
    return Headroom.isLeft(88_000, 64, 8, use, DEMAND.withUrgency(urgency));
  }
}
