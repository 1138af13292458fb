package org.galenapost.daemon.gateway.run;

import static org.assertj.core.api.Assertions.assertThat;
import static org.galenapost.daemon.gateway.run.BufferBudget.MAX_CALL_BYTES;
import static org.galenapost.daemon.gateway.run.BufferBudget.MAX_TOTAL_BYTES;

import org.junit.jupiter.api.Test;

class BufferBudgetTest {

  private final BufferBudget budget = new BufferBudget();

  @Test
  void boundsWhatOneCallHolds() {
    assertThat(budget.tryResize(0, MAX_CALL_BYTES)).isTrue();
    assertThat(budget.tryResize(MAX_CALL_BYTES, MAX_CALL_BYTES + 1)).isFalse();
    assertThat(budget.totalBytes()).isEqualTo(MAX_CALL_BYTES);
  }

  @Test
  void manyEndlessAnswersHoldNoMoreThanTheHeapAllows() {
    long held = 0;
    for (int call = 0; call < 20; call++) {
      held += budget.tryResize(0, MAX_CALL_BYTES) ? MAX_CALL_BYTES : 0;
    }

    assertThat(held).isEqualTo(MAX_TOTAL_BYTES);
    assertThat(budget.totalBytes()).isEqualTo(MAX_TOTAL_BYTES);
  }

  @Test
  void givesRoomBackWhenACallEnds() {
    while (budget.totalBytes() < MAX_TOTAL_BYTES) {
      assertThat(budget.tryResize(0, MAX_CALL_BYTES)).isTrue();
    }
    assertThat(budget.tryResize(0, 1)).isFalse();

    assertThat(budget.tryResize(MAX_CALL_BYTES, 0)).isTrue();

    assertThat(budget.tryResize(0, 1)).isTrue();
  }
}
