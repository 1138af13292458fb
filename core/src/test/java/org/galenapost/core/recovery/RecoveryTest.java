package org.galenapost.core.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.verdict.RefusalReason;
import org.junit.jupiter.api.Test;

class RecoveryTest {

  private static final RecoveryAction KEEP_WAITING = new RecoveryAction.KeepWaiting();

  @Test
  void hedgesAtSuspicionOnlyIfTheProfileSaysSo() {
    RecoveryPlanner hedging = planner(RecoveryPolicy.HEDGE, workspace -> true);
    RecoveryPlanner waiting = planner(RecoveryPolicy.WAIT_THEN_MOVE, workspace -> true);

    assertThat(hedging.onSuspicion(1, true))
        .isEqualTo(new RecoveryAction.StartElsewhere(StartCause.HEDGE));
    assertThat(hedging.onSuspicion(2, true)).isEqualTo(KEEP_WAITING);
    assertThat(hedging.onSuspicion(1, false)).isEqualTo(KEEP_WAITING);
    assertThat(waiting.onSuspicion(1, true)).isEqualTo(KEEP_WAITING);
  }

  @Test
  void movesAfterLossUntilAttemptsBringNothing() {
    // GIVEN
    RecoveryPlanner planner = planner(RecoveryPolicy.WAIT_THEN_MOVE, workspace -> true);
    planner.onStart();
    planner.onProgress();

    // WHEN
    for (int i = 0; i < RecoveryPlanner.MAX_RESUMES_WITHOUT_PROGRESS; i++) {
      assertThat(planner.onLoss(0)).isEqualTo(new RecoveryAction.StartElsewhere(StartCause.MOVE));
      planner.onStart();
    }

    // THEN
    assertThat(planner.onLoss(1)).isEqualTo(KEEP_WAITING);
    assertThat(planner.onLoss(0))
        .isEqualTo(new RecoveryAction.Fail(RefusalReason.ATTEMPTS_EXHAUSTED));
  }

  @Test
  void spentBudgetEndsOnlyGenerationsWithoutText() {
    // GIVEN
    RecoveryPlanner withText = planner(RecoveryPolicy.HEDGE, workspace -> false);
    RecoveryPlanner withoutText = planner(RecoveryPolicy.HEDGE, workspace -> false);
    withText.onStart();
    withText.onProgress();
    withoutText.onStart();

    // WHEN
    RecoveryAction hedge = withText.onSuspicion(1, true);
    withText.onStart();
    RecoveryAction move = withText.onLoss(0);
    RecoveryAction end = withoutText.onLoss(0);

    // THEN
    assertThat(hedge).isEqualTo(KEEP_WAITING);
    assertThat(move).isEqualTo(new RecoveryAction.StartElsewhere(StartCause.MOVE));
    assertThat(end).isEqualTo(new RecoveryAction.Fail(RefusalReason.RETRY_BUDGET_SPENT));
  }

  @Test
  void letsResumesGoOneByOneAndBeforeNewWork() {
    // GIVEN
    ResumePacer pacer = new ResumePacer(1);
    List<String> order = new ArrayList<>();
    assertThat(pacer.tryAcquire("s1")).isTrue();
    assertThat(pacer.tryAcquire("s1")).isFalse();
    pacer.awaitNoWaitingResumes(() -> order.add("new"));
    pacer.awaitSlot(() -> order.add("resume-1"));
    pacer.awaitSlot(() -> order.add("resume-2"));

    // WHEN
    pacer.release("s1");
    List<String> afterFirst = List.copyOf(order);
    pacer.release("s1");

    // THEN
    assertThat(afterFirst).containsExactly("resume-1");
    assertThat(order).containsExactly("resume-1", "resume-2", "new");
  }

  @Test
  void abandonedResumeLetsNewWorkGo() {
    ResumePacer pacer = new ResumePacer(1);
    List<String> order = new ArrayList<>();
    Runnable abandon = pacer.awaitSlot(() -> order.add("resume"));
    pacer.awaitNoWaitingResumes(() -> order.add("new"));

    abandon.run();

    assertThat(order).containsExactly("new");
    assertThat(pacer.hasWaitingResumes()).isFalse();
  }

  private static RecoveryPlanner planner(RecoveryPolicy policy, RetryAllowance allowance) {
    return new RecoveryPlanner(policy, "w1", allowance, false);
  }
}
