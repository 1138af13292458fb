package org.galenapost.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationMessage;
import org.galenapost.core.configuration.KindRevision;
import org.galenapost.core.directory.DirectoryAnswer;
import org.galenapost.core.directory.DirectoryEntry;
import org.galenapost.core.directory.DirectoryKey;
import org.galenapost.core.directory.DirectoryPut;
import org.galenapost.core.directory.DirectoryQuery;
import org.galenapost.core.dispatch.BrittleServerNotice;
import org.galenapost.core.dispatch.SendPermitMessage;
import org.galenapost.core.dispatch.ServerLimitNotice;
import org.galenapost.core.dispatch.ServerSpeedReport;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.handover.HandoverStatus;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.origin.StreamOrigin;
import org.galenapost.core.origin.StreamOriginMessage;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.quarantine.IsolationClaim;
import org.galenapost.core.quarantine.PartLossReport;
import org.galenapost.core.quarantine.PartProof;
import org.galenapost.core.quarantine.ServerLoss;
import org.galenapost.core.quarantine.SuspicionQuery;
import org.galenapost.core.quarantine.SuspicionUpdate;
import org.galenapost.core.rollout.RolloutMessage;
import org.galenapost.core.rollout.RolloutOrder;
import org.galenapost.core.rollout.RolloutResults;
import org.galenapost.core.rollout.RolloutStage;
import org.galenapost.core.rollout.RolloutStatus;
import org.galenapost.core.rollout.RouteTotals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeerCodecRoundTripTest {

  private static final RequestDigest DIGEST = new RequestDigest("0123456789abcdef".repeat(2));

  private static final InstanceKey SERVER = new InstanceKey("i-9f3c01ab77", 1_796_355_365_256L);

  private static final RolloutResults RESULTS =
      new RolloutResults(Map.of("r1", new RouteTotals(12, 3, 1, Map.of(7, 6L, -2, 2L))), Map.of());

  private static final RolloutStatus ROLLOUT_STATUS =
      new RolloutStatus("active", "v2", 1_796_355_365_256L, "");

  static Stream<PeerMessage> messages() {
    DirectoryKey key = new DirectoryKey("w1", "g-1");
    DirectoryEntry entry = new DirectoryEntry(new AttemptId("g-1", 3), "s1", -7);
    ServerLoss death = new ServerLoss("s1", 1_700_000_000_000L, 12, true, true);
    return Stream.of(
        new DirectoryPut(key, entry),
        new DirectoryQuery(5, key),
        new DirectoryAnswer(5, Optional.of(entry)),
        new DirectoryAnswer(6, Optional.empty()),
        new ConfigurationMessage.RevisionsReport(
            List.of(new KindRevision(ConfigurationKind.GATEWAY, 7, 12)), true),
        new ConfigurationMessage.VersionNotice(new KindRevision(ConfigurationKind.GATEWAY, 7, 12)),
        new BrittleServerNotice(SERVER, OptionalDouble.of(4), true),
        new BrittleServerNotice(SERVER, OptionalDouble.empty(), false),
        new HandoverStatus("10.0.0.1", 80, "z1", Set.of("pool"), true),
        new ServerLimitNotice(SERVER, OptionalDouble.of(2.3)),
        new ServerLimitNotice(SERVER, OptionalDouble.empty()),
        new ServerSpeedReport(List.of(new ServerSpeedReport.Sum(SERVER, 12_300.5, 1_537))),
        new SendPermitMessage.Request(3, SERVER, 2.3),
        new SendPermitMessage.Reply(3, false, 410),
        new StreamOriginMessage.Announcement("a1", new StreamOrigin("pool", "v1.1"), 25_000),
        new StreamOriginMessage.Query(4, "a1"),
        new StreamOriginMessage.Reply(4, Optional.of(new StreamOrigin("pool", "v1.1"))),
        new StreamOriginMessage.Reply(4, Optional.empty()),
        new PartLossReport("s1", Set.of("5c1e", "91bd"), 250),
        new PartLossReport("s1", Set.of(), 0),
        new PartProof(Set.of("5c1e")),
        new SuspicionQuery(),
        new SuspicionUpdate(DIGEST, 2, List.of(death)),
        new IsolationClaim("s1", DIGEST, true),
        new RolloutMessage.Lease("pool", "v2", RolloutStage.SHIFTING, 12_000),
        new RolloutMessage.Report("pool", "v2", -5, 9, RolloutStage.TRIAL, 3, RESULTS),
        new RolloutMessage.Orders(
            9,
            List.of(
                new RolloutOrder("pool", "pool", "v2", 9_000, Optional.empty(), 4),
                new RolloutOrder("pool", "pool", "v2", 9_000, Optional.of(ROLLOUT_STATUS), 4))));
  }

  /** At 26 streams a second, a daemon tells 104 origins a second and may send 10 KB for control. */
  @Test
  void keepsTheOriginOfStreamSmall() throws IOException {
    byte[] encoded =
        PeerCodec.write(
            new StreamOriginMessage.Announcement(
                "9c41d07be2a35f68", new StreamOrigin("galena-pool", "v1.1"), 25_000));

    assertThat(encoded).hasSizeLessThan(90);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void decodesWhatItEncoded(PeerMessage message) throws IOException {
    assertThat(PeerCodec.read(PeerCodec.write(message))).isEqualTo(message);
  }
}
