package org.galenapost.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;

class HostListProperties {

  @Property(seed = "6301", tries = 100)
  void twoDaemonsOfEachDataCentrePollWhenAllShareOneView(
      @ForAll @IntRange(min = 2, max = 60) int daemons) {
    // GIVEN daemons of two data centres that all know each other
    List<MemberRecord> members = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      members.add(new MemberRecord("d" + i, "127.0.0.1", i, dataCentre(i), 1, MemberStatus.ALIVE));
      members.add(new MemberRecord("x" + i, "127.0.0.1", i, dataCentre(i), 1, MemberStatus.LOST));
    }

    // WHEN each live one decides
    long pollers =
        members.stream()
            .filter(member -> member.status().isLive())
            .filter(member -> PollerSelection.isPoller(member.id(), "dc1", without(members, member)))
            .filter(member -> member.dataCentre().equals("dc1"))
            .count();

    // THEN two poll, or the only one
    assertThat(pollers).isEqualTo(Math.min(2, (daemons + 1) / 2));
  }

  @Property(seed = "6302", tries = 100)
  void leavingServersFollowNewestRevisionWhateverTheOrder(@ForAll long seed) {
    // GIVEN notices that arrive in any order, some twice
    Random random = new Random(seed);
    LeavingServers leaving = new LeavingServers();
    long newest = 0;
    for (int i = 0; i < 20; i++) {
      long revision = 1 + random.nextInt(10);
      newest = Math.max(newest, revision);

      // WHEN one arrives; the server leaves in odd revisions
      leaving.merge(new HostListNotice(revision, revision % 2 == 1 ? List.of("e1") : List.of()));

      // THEN the newest one counts
      ServerState expected = newest % 2 == 1 ? ServerState.LEAVING : ServerState.LIVE;
      assertThat(leaving.markLeaving(List.of(engine())).iterator().next().state()).isEqualTo(expected);
    }
  }

  private static String dataCentre(int index) {
    return "dc" + (1 + index % 2);
  }

  private static List<MemberRecord> without(List<MemberRecord> members, MemberRecord self) {
    return members.stream().filter(member -> !member.equals(self)).toList();
  }

  private static BackendServer engine() {
    return new BackendServer(
        "e1",
        "127.0.0.1",
        1,
        ServerKind.ENGINE,
        "dc1",
        Set.of(),
        Optional.empty(),
        ServerState.LIVE,
        true);
  }
}
