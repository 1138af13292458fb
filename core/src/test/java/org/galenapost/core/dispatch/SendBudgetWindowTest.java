package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.galenapost.core.dispatch.SendBudget.SendBudgetSettings;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SendBudgetWindowTest {

  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final int EXTRA_SENDS = 30;

  @ParameterizedTest(name = "first retries after {0} ms")
  @ValueSource(longs = {0, 1, 250, 499, 500, 501, 9_750})
  void doesNotForgetRetriesThatAWindowStillHolds(long startMs) {
    VirtualTime time = new VirtualTime();
    SendBudget budget =
        new SendBudget(new SendBudgetSettings(0, WINDOW, EXTRA_SENDS), () -> 1, time);
    time.advance(Duration.ofMillis(startMs));
    assertThat(retries(budget)).isEqualTo(EXTRA_SENDS);

    time.advance(WINDOW.minusMillis(1));

    assertThat(retries(budget)).as("within one window").isZero();
  }

  private static int retries(SendBudget budget) {
    int retries = 0;
    while (budget.tryRetry("app")) {
      retries++;
    }
    return retries;
  }
}
