package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RunTimesTest {

  private static final double TOKENS_PER_MS = 8;

  private final RunTimes times = new RunTimes();

  /** Guards against an assumption that turns calls of a new service away. */
  @Test
  void knowsNoWorkOfAServiceThatHasNotAnswered() {
    assertThat(times.workOfAnswer("app")).isEqualTo(WorkLeft.UNKNOWN);
    assertThat(times.workOfStream("pool", new CallDemand(0, 500), TOKENS_PER_MS, 0))
        .isEqualTo(WorkLeft.UNKNOWN);
  }

  @Test
  void averagesTheAnswersOfEachService() {
    times.onAnswer("app", Duration.ofMillis(20));
    times.onAnswer("app", Duration.ofMillis(40));
    times.onAnswer("other", Duration.ofMillis(900));

    assertThat(times.workOfAnswer("app").total()).isEqualTo(Duration.ofMillis(30));
  }

  /** Guards against an estimate that keeps the speed of long ago. */
  @Test
  void followsAServiceThatSlowsDown() {
    for (int call = 0; call < 100; call++) {
      times.onAnswer("app", Duration.ofMillis(20));
    }
    for (int call = 0; call < 30; call++) {
      times.onAnswer("app", Duration.ofMillis(200));
    }

    assertThat(times.workOfAnswer("app").total()).isGreaterThan(Duration.ofMillis(180));
  }

  /** Guards against one run time for all streams, whatever their prompts and answers need. */
  @Test
  void scalesTheWorkOfAStreamWithItsPromptAndItsTokens() {
    times.onStream("pool", 1_000, 200, Duration.ofSeconds(5));

    WorkLeft work = times.workOfStream("pool", new CallDemand(16_000, 500), TOKENS_PER_MS, 0);

    assertThat(work.untilFirstEvent()).isEqualTo(Duration.ofSeconds(2));
    assertThat(work.afterFirstEvent()).isEqualTo(Duration.ofMillis(2_500));
  }

  /** Guards against giving up a stream that is nearly finished. */
  @Test
  void countsOnlyTheEventsThatAStreamStillLacks() {
    times.onStream("pool", 1_000, 200, Duration.ofSeconds(5));

    assertThat(times.workOfStream("pool", new CallDemand(0, 1_000), TOKENS_PER_MS, 180).total())
        .isEqualTo(Duration.ofMillis(500));
    assertThat(times.workOfStream("pool", new CallDemand(0, 1_000), TOKENS_PER_MS, 300).total())
        .isEqualTo(Duration.ZERO);
  }
}
