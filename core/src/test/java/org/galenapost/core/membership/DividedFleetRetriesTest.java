package org.galenapost.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.galenapost.core.dispatch.FleetShare;
import org.galenapost.core.dispatch.SendBudget;
import org.galenapost.core.dispatch.SendBudget.SendBudgetSettings;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/** Daemons that do not see the whole fleet and share the fixed retries with all of it. */
class DividedFleetRetriesTest {

  private static final String SERVICE = "app";
  private static final int DAEMONS = 8;
  private static final int EXTRA_SENDS = 80;
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final Duration FORGET_AFTER = MembershipSettings.defaults().forgetAfter();

  private final MembershipSimulation fleet = new MembershipSimulation(1, DAEMONS, 0);
  private final List<SendBudget> budgets =
      IntStream.range(0, DAEMONS).mapToObj(i -> budgetOf("d" + i)).toList();

  @Test
  void bothSidesOfPartitionDoNotSendTheFixedRetriesTwice() {
    for (int i = 0; i < DAEMONS; i++) {
      for (int j = 0; j < DAEMONS; j++) {
        if (i % 2 != j % 2) {
          fleet.cutOneWay("d" + i, "d" + j);
        }
      }
    }
    fleet.run(Duration.ofSeconds(60));

    int retries = budgets.stream().mapToInt(DividedFleetRetriesTest::retries).sum();

    assertThat(fleet.daemonsSeeingLive("d1")).as("sides that lost each other").hasSize(3);
    assertThat(retries).isLessThanOrEqualTo(EXTRA_SENDS);
  }

  @Test
  void daemonsDoNotTakeOverWhatLostDaemonsHaveJustSent() {
    fleet.run(Duration.ofSeconds(15));
    int retries = retries(budgets.get(0)) + retries(budgets.get(1));
    fleet.crash("d0");
    fleet.crash("d1");
    fleet.run(Duration.ofSeconds(9));

    retries += budgets.stream().skip(2).mapToInt(DividedFleetRetriesTest::retries).sum();

    assertThat(retries).isLessThanOrEqualTo(EXTRA_SENDS);
  }

  @Test
  void daemonsTakeOverTheSharesOfDaemonsThatAreGone() {
    fleet.run(Duration.ofSeconds(15));
    for (int i = 4; i < DAEMONS; i++) {
      fleet.crash("d" + i);
    }
    fleet.run(FORGET_AFTER.plusSeconds(30));

    int retries = budgets.stream().limit(4).mapToInt(DividedFleetRetriesTest::retries).sum();

    assertThat(retries).isEqualTo(EXTRA_SENDS);
  }

  @Test
  void daemonThatKnowsNoFleetUsesNoShareOfIt() {
    FleetShare share = new FleetShare(fleet.time(), WINDOW, OptionalInt::empty);
    share.confirmFirstStart();

    assertThat(share.part()).isZero();
  }

  private SendBudget budgetOf(String id) {
    VirtualTime time = fleet.time();
    FleetShare share =
        new FleetShare(
            time,
            WINDOW,
            () -> OptionalInt.of(fleet.membershipOf(id).recentlyLiveCount(FORGET_AFTER) + 1));
    return new SendBudget(new SendBudgetSettings(0, WINDOW, EXTRA_SENDS), share::part, time);
  }

  private static int retries(SendBudget budget) {
    int retries = 0;
    while (budget.tryRetry(SERVICE)) {
      retries++;
    }
    return retries;
  }
}
