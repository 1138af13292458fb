package org.galenapost.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationMessage;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.KindUpdate;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.settings.PeerSettings;
import org.galenapost.daemon.settings.SocketAddressSetting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TcpPeerBusTest {

  private static final String SECRET = "a secret of sixteen letters";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final EventLoops eventLoops = new EventLoops(2);
  private final List<TcpPeerBus> buses = new ArrayList<>();

  @AfterEach
  void stopAll() {
    buses.forEach(TcpPeerBus::stop);
    eventLoops.stop();
  }

  @Test
  void carriesMessagesBothWaysBetweenDaemonsThatShareTheSecret() {
    // GIVEN two daemons, one of which knows the other as a seed
    TcpPeerBus first = start("d1", SECRET, List.of());
    TcpPeerBus second = start("d2", SECRET, List.of(address(first)));
    List<String> received = Collections.synchronizedList(new ArrayList<>());
    first.onMessage(ConfigurationMessage.Pull.class, (sender, pull) -> received.add(sender));
    second.onMessage(ConfigurationMessage.Pull.class, (sender, pull) -> received.add(sender));

    // WHEN the seed is dialed and both send
    second.connectToSeeds();
    await().atMost(TIMEOUT).until(() -> first.livePeerIds().contains("d2"));
    await().atMost(TIMEOUT).until(() -> second.livePeerIds().contains("d1"));
    first.broadcast(new ConfigurationMessage.Pull(List.of()));
    second.broadcast(new ConfigurationMessage.Pull(List.of()));

    // THEN each gets the other's message under the sender's id
    await()
        .atMost(TIMEOUT)
        .untilAsserted(() -> assertThat(received).containsExactlyInAnyOrder("d1", "d2"));
  }

  @Test
  void rejectsDaemonWithWrongSecret() throws InterruptedException {
    // GIVEN a daemon with a wrong secret
    TcpPeerBus honest = start("d1", SECRET, List.of());
    TcpPeerBus stranger = start("d2", "another secret of letters", List.of(address(honest)));

    // WHEN it connects
    stranger.connectToSeeds();
    Thread.sleep(300);

    // THEN neither side knows the other
    assertThat(honest.livePeerIds()).isEmpty();
    assertThat(stranger.livePeerIds()).isEmpty();
  }

  @Test
  void decodesMessageWithNestedRecords() throws IOException {
    // GIVEN a message with nested records, an enum and an absent value
    ConfigurationRecord deleted =
        ConfigurationRecord.deleted(ConfigurationKind.SERVER, "s1", 7_000_000_000L);
    ConfigurationRecord present =
        new ConfigurationRecord(ConfigurationKind.SERVER, "s2", 8, Optional.of("{\"a\":1}"));
    PeerMessage message =
        new ConfigurationMessage.Update(
            new KindUpdate(ConfigurationKind.SERVER, 5, 9, true, List.of(deleted, present)));

    // WHEN it is written and read THEN it is the same
    assertThat(PeerCodec.read(PeerCodec.write(message))).isEqualTo(message);
  }

  private TcpPeerBus start(String id, String secret, List<SocketAddressSetting> seeds) {
    SocketAddressSetting any = new SocketAddressSetting("127.0.0.1", 0);
    TcpPeerBus bus = new TcpPeerBus(id, new PeerSettings(any, secret, seeds), eventLoops.group());
    bus.start();
    buses.add(bus);
    return bus;
  }

  private static SocketAddressSetting address(TcpPeerBus bus) {
    return new SocketAddressSetting(bus.ownAddress().ip(), bus.ownAddress().port());
  }
}
