package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class RoomQueueTest {

  private static final Duration CHECK = Duration.ofMillis(50);

  private final VirtualTime time = new VirtualTime();
  private final RoomQueue queue = new RoomQueue(time, time, () -> 0.5);
  private final List<String> started = new ArrayList<>();
  private final List<Duration> refusals = new ArrayList<>();
  private int room;

  /** Guards against less urgent calls that take the room that urgent ones wait for. */
  @Test
  void startsMoreUrgentCallsFirst() {
    enter("low", 2, "w1", 20_000);
    enter("high", 1, "w1", 20_000);
    room = 1;

    time.advance(CHECK);

    assertThat(started).containsExactly("high");
    assertThat(queue.waitingCount()).isEqualTo(1);
  }

  /** Guards against one large workspace whose calls go before all of those that came later. */
  @Test
  void letsWorkspacesTakeTurns() {
    for (int call = 0; call < 10; call++) {
      enter("large" + call, 1, "large", 60_000);
    }
    enter("small0", 1, "small", 60_000);
    enter("small1", 1, "small", 60_000);
    room = 4;

    time.advance(CHECK);

    assertThat(started).containsExactly("large0", "small0", "large1", "small1");
  }

  /** Guards against a workspace that fills the queue, so that the others are refused. */
  @Test
  void keepsPlacesForOtherWorkspaces() {
    for (int call = 0; call < 100; call++) {
      enter("large" + call, 1, "large", 600_000);
    }
    assertThat(refusals).hasSize(100 - 32);

    assertThat(enter("small", 1, "small", 600_000)).isPresent();
  }

  /** Guards against calls that wait although they will be refused in the end. */
  @Test
  void refusesAtOnceWhatWouldWaitBeyondItsTime() {
    enter("first", 1, "w1", 3_500);
    enter("second", 1, "w1", 3_500);
    enter("third", 1, "w1", 3_500);
    assertThat(refusals).isEmpty();

    assertThat(enter("fourth", 1, "w1", 3_500)).isEmpty();

    assertThat(refusals).as("one start a second, times 1.5").containsExactly(Duration.ofSeconds(6));
  }

  /** Guards against an estimate that refuses calls although many start. */
  @Test
  void learnsHowFastCallsStart() {
    for (int call = 0; call < 40; call++) {
      room = 1;
      enter("call" + call, 1, "w" + call, 60_000);
      time.advance(CHECK.multipliedBy(2));
    }
    assertThat(started).hasSize(40);

    room = 0;
    for (int call = 0; call < 10; call++) {
      enter("late" + call, 1, "w" + call, 3_500);
    }
    assertThat(refusals).isEmpty();
  }

  /** Guards against calls that are answered only when their time is over. */
  @Test
  void refusesWaitingCallsThatCanNoLongerBeServed() {
    enter("call", 1, "w1", 1_500);

    time.advance(Duration.ofMillis(1_550));

    assertThat(refusals).hasSize(1);
    assertThat(queue.waitingCount()).isZero();
  }

  /**
   * Guards against callers that lose their turn because they ask again. A caller's next attempt is
   * a call of its own, also before the time that a refusal named.
   */
  @Test
  void ranksRepeatsAsFirstAttempts() {
    enter("again", 1, "w1", 500);
    assertThat(refusals).hasSize(1);
    time.advance(Duration.ofMillis(100));

    enter("again", 1, "w1", 20_000);
    enter("first", 1, "w2", 20_000);
    room = 1;
    time.advance(CHECK);

    assertThat(started).containsExactly("again");
  }

  /** Guards against newcomers that overtake calls of their priority which wait. */
  @Test
  void knowsWhetherCallsWaitAhead() {
    enter("call", 1, "w1", 20_000);

    assertThat(queue.isAnyAhead("pool", 2)).isTrue();
    assertThat(queue.isAnyAhead("pool", 1)).isTrue();
    assertThat(queue.isAnyAhead("pool", 0)).isFalse();
    assertThat(queue.isAnyAhead("other", 2)).isFalse();
  }

  private Optional<RoomQueue.Ticket> enter(
      String id, int priority, String workspace, long withinMs) {
    List<RoomQueue.Ticket> tickets = new ArrayList<>();
    Optional<RoomQueue.Ticket> ticket =
        queue.enter(
            new RoomQueue.Waiter(
                "pool",
                priority,
                workspace,
                time.nanos() + Duration.ofMillis(withinMs).toNanos(),
                () -> tryStart(id, tickets),
                refusals::add));
    ticket.ifPresent(tickets::add);
    return ticket;
  }

  private boolean tryStart(String id, List<RoomQueue.Ticket> tickets) {
    if (room == 0) {
      return false;
    }
    room--;
    started.add(id);
    tickets.forEach(RoomQueue.Ticket::start);
    return true;
  }
}
