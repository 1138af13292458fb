package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;

class ServerUseTrackerProperties {

  private static final ServerInstance SERVER =
      new ServerInstance("i1", 1, "s", "10.0.0.1", 80, "dc1", 6, false);
  private static final InstanceKey KEY = SERVER.key();

  @Property
  void totalsAreWhatAllDaemonsHaveInHand(
      @ForAll @Size(max = 20) List<@IntRange(min = 0, max = 3) Integer> steps) {
    ServerUseTracker own = new ServerUseTracker();
    ServerUseTracker other = new ServerUseTracker();
    List<ServerUseTracker.Reservation> ownUses = new ArrayList<>();
    List<ServerUseTracker.Reservation> otherUses = new ArrayList<>();
    for (int step : steps) {
      switch (step) {
        case 0 -> ownUses.add(own.reserve(KEY, new ServerUse(1, 100, 150)));
        case 1 -> otherUses.add(other.reserve(KEY, new ServerUse(1, 200, 250)));
        case 2 -> end(ownUses);
        default -> end(otherUses);
      }
      own.applyReport("d2", other.currentReport());
    }

    ServerUse expected =
        new ServerUse(
            ownUses.size() + otherUses.size(),
            100L * ownUses.size() + 200L * otherUses.size(),
            150L * ownUses.size() + 250L * otherUses.size());
    assertThat(own.total(SERVER)).isEqualTo(expected);
    own.retainOnly(Set.of());
    assertThat(own.total(SERVER).calls()).isEqualTo(ownUses.size());
  }

  @Property(tries = 1)
  void reportsOnlyWhatChanged() {
    ServerUseTracker ledger = new ServerUseTracker();
    ServerUseTracker.Reservation use = ledger.reserve(KEY, new ServerUse(1, 100, 150));

    assertThat(ledger.pollChangedReport()).hasSize(1);
    assertThat(ledger.pollChangedReport()).isEmpty();
    use.markPromptProcessed();
    assertThat(ledger.total(SERVER)).isEqualTo(new ServerUse(1, 0, 150));
    use.release();
    use.release();
    assertThat(ledger.pollChangedReport()).containsExactly(new UseReport(List.of()));
    assertThat(ledger.total(SERVER)).isEqualTo(ServerUse.NONE);
  }

  @Property(tries = 1)
  void tellsOfTheFirstChangeAfterEachReport() {
    ServerUseTracker ledger = new ServerUseTracker();
    List<String> told = new ArrayList<>();
    ledger.onChange(() -> told.add("changed"));

    ServerUseTracker.Reservation use = ledger.reserve(KEY, new ServerUse(1, 100, 150));
    use.markPromptProcessed();
    assertThat(told).hasSize(1);
    ledger.pollChangedReport();
    use.release();

    assertThat(told).hasSize(2);
  }

  private static void end(List<ServerUseTracker.Reservation> uses) {
    if (!uses.isEmpty()) {
      uses.remove(0).release();
    }
  }
}
