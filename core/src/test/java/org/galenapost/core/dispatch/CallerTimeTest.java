package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CallerTimeTest {

  private static final WorkLeft WORK = new WorkLeft(Duration.ofSeconds(1), Duration.ofSeconds(5));
  private static final long MARGIN_MS = 50;

  /** Guards against calls that are refused or sent without regard to the work that is left. */
  @Test
  void leavesTheTimeForTheWorkBeforeTheDeadline() {
    CallerTime time = CallerTime.until(nanos(25_000));

    assertThat(time.latestSendNanos(WORK)).isEqualTo(nanos(19_000 - MARGIN_MS));
  }

  /** Guards against waiting for a caller that has left its stream long before the deadline. */
  @Test
  void leavesTheTimeForTheNextEventBeforeTheCallerOfAStreamGoes() {
    CallerTime time = CallerTime.until(nanos(25_000), nanos(10_000));

    assertThat(time.latestSendNanos(WORK)).isEqualTo(nanos(9_000 - MARGIN_MS));
  }

  @Test
  void leavesTheTimeForTheWholeAnswerToACallerThatWaitsLongForEvents() {
    CallerTime time = CallerTime.until(nanos(25_000), nanos(24_000));

    assertThat(time.latestSendNanos(WORK)).isEqualTo(nanos(19_000 - MARGIN_MS));
  }

  /** Guards against calls that are turned away because nothing is known of their work. */
  @Test
  void allowsAlmostAllOfTheTimeWhileTheWorkIsUnknown() {
    CallerTime time = CallerTime.until(nanos(600));

    assertThat(time.latestSendNanos(WorkLeft.UNKNOWN)).isEqualTo(nanos(600 - MARGIN_MS));
  }

  /** Guards against callers that learn of a refusal when they can no longer come back. */
  @Test
  void leavesACallerTheTimeToComeBackAtAnotherDaemon() {
    assertThat(CallerTime.until(nanos(9_000)).latestWaitNanos(nanos(3_000), WorkLeft.UNKNOWN))
        .isEqualTo(nanos(7_000));
    assertThat(
            CallerTime.until(nanos(25_000), nanos(9_000))
                .latestWaitNanos(nanos(3_000), WorkLeft.UNKNOWN))
        .isEqualTo(nanos(7_000));
  }

  /** Guards against waiting for a server when the work no longer fits. */
  @Test
  void waitsNoLongerThanTheWorkAllows() {
    assertThat(CallerTime.until(nanos(9_000)).latestWaitNanos(nanos(0), WORK))
        .isEqualTo(nanos(3_000 - MARGIN_MS));
  }

  private static long nanos(long ms) {
    return Duration.ofMillis(ms).toNanos();
  }
}
