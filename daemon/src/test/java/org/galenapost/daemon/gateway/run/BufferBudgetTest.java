package org.galenapost.daemon.gateway.run;

import static org.assertj.core.api.Assertions.assertThat;
import static org.galenapost.daemon.gateway.run.BufferBudget.MAX_CALL_BYTES;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BufferBudgetTest {

  private static final long HEAP_BYTES = 120 * 1024 * 1024;
  private static final long MAX_TOTAL_BYTES = HEAP_BYTES / 8;

  private final BufferBudget budget = BufferBudget.ofHeap(HEAP_BYTES);

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

    assertThat(held).isGreaterThan(MAX_TOTAL_BYTES - MAX_CALL_BYTES);
    assertThat(held).isLessThanOrEqualTo(MAX_TOTAL_BYTES);
    assertThat(budget.totalBytes()).isEqualTo(held);
  }

  @Test
  void givesRoomBackWhenACallEnds() {
    while (budget.tryResize(0, MAX_CALL_BYTES)) {
      assertThat(budget.totalBytes()).isLessThanOrEqualTo(MAX_TOTAL_BYTES);
    }
    assertThat(budget.tryResize(0, MAX_TOTAL_BYTES - budget.totalBytes())).isTrue();
    assertThat(budget.tryResize(0, 1)).isFalse();

    assertThat(budget.tryResize(MAX_CALL_BYTES, 0)).isTrue();

    assertThat(budget.tryResize(0, 1)).isTrue();
  }

  /** Guards against answers that nobody reads and that keep out those of other calls. */
  @Test
  void answerThatIsUnreadForLongestGivesUpItsRoomFirst() {
    List<String> dropped = new ArrayList<>();
    BufferBudget.UnreadAnswer first = () -> dropped.add("first");
    BufferBudget.UnreadAnswer second = () -> dropped.add("second");
    budget.holdUnread(first, MAX_TOTAL_BYTES / 2);
    budget.holdUnread(second, MAX_TOTAL_BYTES / 2);
    budget.holdUnread(first, MAX_TOTAL_BYTES / 2);

    assertThat(budget.tryResize(0, 1_000)).isTrue();

    assertThat(dropped).containsExactly("first");
    assertThat(budget.totalBytes()).isEqualTo(MAX_TOTAL_BYTES / 2 + 1_000);
    assertThat(budget.droppedCount()).isEqualTo(1);
  }

  @Test
  void callerThatReadsAgainCountsAnew() {
    List<String> dropped = new ArrayList<>();
    BufferBudget.UnreadAnswer slow = () -> dropped.add("slow");
    BufferBudget.UnreadAnswer stalled = () -> dropped.add("stalled");
    budget.holdUnread(slow, MAX_TOTAL_BYTES / 2);
    budget.holdUnread(stalled, MAX_TOTAL_BYTES / 2);
    budget.releaseUnread(slow);
    budget.holdUnread(slow, MAX_TOTAL_BYTES / 2);

    assertThat(budget.tryResize(0, 1_000)).isTrue();

    assertThat(dropped).containsExactly("stalled");
    budget.releaseUnread(stalled);
    assertThat(budget.totalBytes()).isEqualTo(MAX_TOTAL_BYTES / 2 + 1_000);
  }
}
