package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.galenapost.core.dispatch.SendBudget.SendBudgetSettings;
import org.galenapost.core.testing.VirtualTime;

class SendBudgetProperties {

  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final SendBudgetSettings SETTINGS = new SendBudgetSettings(0.8, WINDOW, 30);

  @Property
  void retriesOfAllDaemonsStayWithinTheFleetLimit(
      @ForAll @IntRange(min = 1, max = 5) int daemons,
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 9) Integer> load) {
    VirtualTime time = new VirtualTime();
    List<SendBudget> budgets = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      budgets.add(new SendBudget(SETTINGS, () -> 1.0 / daemons, time));
    }
    int calls = 0;
    int retries = 0;
    for (int i = 0; i < load.size(); i++) {
      SendBudget budget = budgets.get(i % daemons);
      for (int call = 0; call < load.get(i); call++) {
        budget.onFirstSend("s");
        calls++;
      }
      while (budget.tryRetry("s")) {
        retries++;
      }
    }

    assertThat((double) retries).isLessThanOrEqualTo(0.8 * calls + 30);
  }

  @Property(tries = 1)
  void allowsRetriesAgainAfterTheWindow() {
    VirtualTime time = new VirtualTime();
    SendBudget budget = new SendBudget(SETTINGS, () -> 1, time);
    for (int i = 0; i < 30; i++) {
      assertThat(budget.tryRetry("s")).isTrue();
    }
    assertThat(budget.tryRetry("s")).isFalse();
    assertThat(budget.tryRetry("other")).isTrue();

    time.advance(WINDOW.plusMillis(500));

    assertThat(budget.tryRetry("s")).isTrue();
  }
}
