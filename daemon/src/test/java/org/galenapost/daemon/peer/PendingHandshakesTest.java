package org.galenapost.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Connections to the peer port that do not authenticate. */
class PendingHandshakesTest {

  private final PendingHandshakes handshakes = new PendingHandshakes(2);
  private final EmbeddedChannel first = new EmbeddedChannel();
  private final EmbeddedChannel second = new EmbeddedChannel();
  private final EmbeddedChannel third = new EmbeddedChannel();

  @Test
  void newConnectionTakesThePlaceOfTheLongestPending() {
    handshakes.add(first);
    handshakes.add(second);
    handshakes.add(third);

    assertThat(first.isOpen()).isFalse();
    assertThat(second.isOpen()).isTrue();
    assertThat(third.isOpen()).isTrue();
  }

  @Test
  void authenticatedConnectionStaysOpen() {
    handshakes.add(first);
    handshakes.remove(first);
    handshakes.add(second);
    handshakes.add(third);

    assertThat(first.isOpen()).isTrue();
    assertThat(second.isOpen()).isTrue();
  }

  @Test
  void closedConnectionMakesRoom() {
    handshakes.add(first);
    handshakes.add(second);
    first.close();
    handshakes.add(third);

    assertThat(second.isOpen()).isTrue();
    assertThat(third.isOpen()).isTrue();
  }
}
