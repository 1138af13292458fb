package org.galenapost.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.membership.MemberStatus;
import org.galenapost.core.membership.MembershipMessage;
import org.galenapost.core.membership.MembershipSettings;
import org.junit.jupiter.api.Test;

class MembershipMessageSizeTest {

  private static final int MAX_BYTES_PER_SECOND = 10_000;
  private static final int INDIRECT_PROBES = MembershipSettings.defaults().indirectProbes();
  private static final int MESSAGES_PER_SECOND =
      2 * MembershipSettings.defaults().neighbours() + INDIRECT_PROBES;

  @Test
  void staysWithinBandwidthBudgetWhenEveryMessageIsFull() throws Exception {
    // GIVEN the fullest heartbeat, with long names
    List<MemberRecord> updates = new ArrayList<>();
    for (int i = 0; i < MembershipSettings.defaults().updatesPerMessage() + 2; i++) {
      updates.add(
          new MemberRecord(
              "entry-east-4-" + (100 + i),
              "10.104.17." + (100 + i),
              42_107,
              "east-4",
              1_796_342_400_000L,
              MemberStatus.SUSPECTED));
    }

    // WHEN it is encoded
    int fullBytes =
        PeerCodec.write(new MembershipMessage.Heartbeat(Long.MAX_VALUE, updates)).length;
    int quietBytes =
        PeerCodec.write(new MembershipMessage.Heartbeat(Long.MAX_VALUE, updates.subList(0, 1)))
            .length;

    // THEN all that a daemon sends in a second stays within the budget, in quiet times far below
    assertThat(MESSAGES_PER_SECOND * fullBytes).isLessThan(MAX_BYTES_PER_SECOND);
    assertThat(MESSAGES_PER_SECOND * quietBytes).isLessThan(MAX_BYTES_PER_SECOND / 5);
  }
}
