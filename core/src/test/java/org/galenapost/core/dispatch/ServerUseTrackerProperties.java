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
      new ServerInstance("i1", 1, 0, "s", "10.0.0.1", 80, "dc1", 6, false, "v1");
  private static final InstanceKey KEY = SERVER.key();

  @Property
  void totalsIncludeTheUsesOfAllDaemons(
      @ForAll @Size(max = 20) List<@IntRange(min = 0, max = 3) Integer> steps) {
    ServerUseTracker own = new ServerUseTracker();
    ServerUseTracker other = new ServerUseTracker();
    List<ServerUseTracker.Reservation> ownUses = new ArrayList<>();
    List<ServerUseTracker.Reservation> otherUses = new ArrayList<>();
    for (int step : steps) {
      switch (step) {
        case 0 -> ownUses.add(own.reserve(KEY, new ServerUse(1, 100, 150)));
        case 1 -> otherUses.add(other.reserve(KEY, new ServerUse(1, 200, 250)));
        case 2 -> releaseFirst(ownUses);
        default -> releaseFirst(otherUses);
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
    ServerUseTracker tracker = new ServerUseTracker();
    ServerUseTracker.Reservation use = tracker.reserve(KEY, new ServerUse(1, 100, 150));

    assertThat(tracker.pollChangedReport()).hasSize(1);
    assertThat(tracker.pollChangedReport()).isEmpty();
    use.markPromptProcessed();
    assertThat(tracker.total(SERVER)).isEqualTo(new ServerUse(1, 0, 150));
    use.release();
    use.release();
    assertThat(tracker.pollChangedReport()).containsExactly(new UseReport(List.of()));
    assertThat(tracker.total(SERVER)).isEqualTo(ServerUse.NONE);
  }

  @Property(tries = 1)
  void reportsNoUseThatBeganAndEndedSinceTheLastReport() {
    ServerUseTracker tracker = new ServerUseTracker();
    ServerUseTracker.Reservation longUse = tracker.reserve(KEY, new ServerUse(1, 100, 150));
    tracker.pollChangedReport();

    tracker.reserve(KEY, new ServerUse(1, 0, 0)).release();

    assertThat(tracker.pollChangedReport()).isEmpty();
    longUse.release();
    assertThat(tracker.pollChangedReport()).containsExactly(new UseReport(List.of()));
  }

  @Property(tries = 1)
  void notifiesListenerOfFirstChangeAfterEachReport() {
    ServerUseTracker tracker = new ServerUseTracker();
    List<String> notifications = new ArrayList<>();
    tracker.onChange(() -> notifications.add("changed"));

    ServerUseTracker.Reservation use = tracker.reserve(KEY, new ServerUse(1, 100, 150));
    use.markPromptProcessed();
    assertThat(notifications).hasSize(1);
    tracker.pollChangedReport();
    use.release();

    assertThat(notifications).hasSize(2);
  }

  private static void releaseFirst(List<ServerUseTracker.Reservation> uses) {
    if (!uses.isEmpty()) {
      uses.remove(0).release();
    }
  }
}
