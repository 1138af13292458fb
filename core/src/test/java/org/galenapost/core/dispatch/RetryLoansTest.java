package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.dispatch.SendBudget.SendBudgetSettings;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/** The loss of a data centre, which takes many streams of a few daemons at once. */
class RetryLoansTest {

  private static final String SERVICE = "pool";
  private static final int DAEMONS = 12;
  private static final int STREAMS_PER_DAEMON = 3;
  private static final int EXTRA_SENDS = 19;
  private static final double RATIO = 0.8;
  private static final Duration LATENCY = Duration.ofMillis(1);

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, LATENCY);
  private final List<SendBudget> budgets = new ArrayList<>();
  private final List<RetryLoans> loans = new ArrayList<>();
  private int retries;
  private int refusals;

  RetryLoansTest() {
    for (int i = 0; i < DAEMONS; i++) {
      SendBudget budget =
          new SendBudget(
              new SendBudgetSettings(RATIO, Duration.ofSeconds(10), EXTRA_SENDS),
              () -> 1.0 / DAEMONS,
              time);
      budgets.add(budget);
      loans.add(new RetryLoans(budget, network.join("d" + i), time, () -> 0.5));
      for (int call = 0; call < STREAMS_PER_DAEMON; call++) {
        budget.onFirstSend(SERVICE);
      }
    }
  }

  @Test
  void streamsOfOneDaemonGoOnWhileOthersHaveRetriesLeft() {
    int lostStreams = 10;
    int ownShareOnly = 0;
    for (int i = 0; i < lostStreams; i++) {
      ownShareOnly += retry(0) ? 1 : 0;
    }
    time.advance(Duration.ofMillis(160));

    assertThat(ownShareOnly).as("without loans").isEqualTo(3);
    assertThat(retries).as("with loans").isEqualTo(lostStreams);
  }

  @Test
  void fleetStaysWithinItsLimitWhenEveryDaemonBorrowsAtOnce() {
    for (int round = 0; round < 20; round++) {
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        retry(daemon);
      }
    }
    time.advance(Duration.ofMillis(160));

    double limit = RATIO * DAEMONS * STREAMS_PER_DAEMON + EXTRA_SENDS;
    assertThat((double) retries).isLessThanOrEqualTo(limit);
    assertThat(retries + refusals).as("every call gets an answer").isEqualTo(20 * DAEMONS);
  }

  @Test
  void answersAlthoughNoLenderDoes() {
    for (int i = 1; i < DAEMONS; i++) {
      network.cut("d" + i, "d0");
    }
    for (int i = 0; i < 5; i++) {
      retry(0);
    }

    time.advance(Duration.ofMillis(160));

    assertThat(retries).isEqualTo(3);
    assertThat(refusals).isEqualTo(2);
  }

  /** Retries a call and returns whether the daemon's own share allowed it. */
  private boolean retry(int daemon) {
    if (budgets.get(daemon).tryRetry(SERVICE)) {
      retries++;
      return true;
    }
    loans
        .get(daemon)
        .borrow(
            SERVICE,
            isGranted -> {
              if (isGranted) {
                retries++;
              } else {
                refusals++;
              }
            });
    return false;
  }
}
