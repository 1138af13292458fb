package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.galenapost.core.dispatch.SendBudget.SendBudgetSettings;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/** Daemons that start again within a window of the budget while servers refuse calls. */
class RestartedDaemonRetriesTest {

  private static final String SERVICE = "app";
  private static final int DAEMONS = 6;
  private static final int CALLS_PER_LIFE = 5;
  private static final double RATIO = 0.8;
  private static final double EXTRA_SENDS = 150;
  private static final Duration WINDOW = Duration.ofSeconds(10);

  private final VirtualTime time = new VirtualTime();

  @Test
  void fleetThatStartsAgainDoesNotSendItsFixedRetriesTwice() {
    int lives = 4;
    int retries = retriesOfAllDaemons(FleetShare::confirmFirstStart);
    for (int life = 1; life < lives; life++) {
      time.advance(Duration.ofSeconds(2));
      retries += retriesOfAllDaemons(share -> {});
    }

    double limit = RATIO * lives * DAEMONS * CALLS_PER_LIFE + EXTRA_SENDS;
    assertThat((double) retries).isLessThanOrEqualTo(limit);
  }

  @Test
  void daemonUsesItsShareAgainOnceItsEarlierProcessNoLongerCounts() {
    SendBudget budget = budget(share());

    time.advance(Duration.ofSeconds(13));

    assertThat(retries(budget)).isEqualTo((int) EXTRA_SENDS / DAEMONS);
  }

  @Test
  void firstProcessOfFleetUsesItsShareAtOnce() {
    FleetShare share = share();
    share.confirmFirstStart();

    assertThat(retries(budget(share))).isEqualTo((int) EXTRA_SENDS / DAEMONS);
  }

  private int retriesOfAllDaemons(Consumer<FleetShare> onStart) {
    return IntStream.range(0, DAEMONS)
        .map(
            daemon -> {
              FleetShare share = share();
              onStart.accept(share);
              SendBudget budget = budget(share);
              for (int call = 0; call < CALLS_PER_LIFE; call++) {
                budget.onFirstSend(SERVICE);
              }
              return retries(budget);
            })
        .sum();
  }

  private FleetShare share() {
    return new FleetShare(time, WINDOW, () -> OptionalInt.of(DAEMONS));
  }

  private SendBudget budget(FleetShare share) {
    return new SendBudget(new SendBudgetSettings(RATIO, WINDOW, EXTRA_SENDS), share::part, time);
  }

  private static int retries(SendBudget budget) {
    int retries = 0;
    while (budget.tryRetry(SERVICE)) {
      retries++;
    }
    return retries;
  }
}
