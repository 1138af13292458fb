package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ReturnDelayTest {

  private final AtomicInteger quarters = new AtomicInteger();
  private final ReturnDelay delay = new ReturnDelay(() -> quarters.get() / 4.0);

  /** Guards against callers that return together to places which become free one by one. */
  @Test
  void spreadsReturnsOverTheTimeOfOneRun() {
    assertThat(untilRoom(Duration.ofMillis(80), 0)).isEqualTo(Duration.ZERO);
    assertThat(untilRoom(Duration.ofMillis(80), 1)).isEqualTo(Duration.ofMillis(20));
    assertThat(untilRoom(Duration.ofMillis(80), 3)).isEqualTo(Duration.ofMillis(60));
  }

  /** Guards against a delay that the caller does not follow or that leaves it no time. */
  @Test
  void namesNoMoreThanAThirdOfTheTimeLeft() {
    Duration timeLeft = Duration.ofMillis(1_500);

    assertThat(untilRoom(Duration.ofSeconds(5), 3)).isEqualTo(Duration.ofMillis(500));
    assertThat(delay.whileNothingIsKnown(timeLeft)).isEqualTo(Duration.ofMillis(500));
    assertThat(delay.until(Duration.ofSeconds(1), timeLeft)).isEqualTo(Duration.ofMillis(500));
    assertThat(delay.until(Duration.ofMillis(200), timeLeft)).isEqualTo(Duration.ofMillis(200));
  }

  @Test
  void tellsCallersAtTheEndOfTheirTimeToComeBackAtOnce() {
    assertThat(delay.whileNothingIsKnown(Duration.ofMillis(-1))).isEqualTo(Duration.ZERO);
  }

  private Duration untilRoom(Duration runTime, int randomQuarters) {
    quarters.set(randomQuarters);
    return delay.untilRoom(runTime, Duration.ofMillis(1_500));
  }
}
