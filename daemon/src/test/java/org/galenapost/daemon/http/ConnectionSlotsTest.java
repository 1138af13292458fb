package org.galenapost.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** More connections than a listener has slots for. */
class ConnectionSlotsTest {

  private final AtomicInteger closedCount = new AtomicInteger();
  private final ConnectionSlots slots = new ConnectionSlots(2, closedCount::incrementAndGet);

  private EmbeddedChannel connect() {
    EmbeddedChannel channel = new EmbeddedChannel(slots);
    slots.onWaiting(channel);
    return channel;
  }

  @Test
  void newConnectionTakesThePlaceOfTheLongestWaiting() {
    EmbeddedChannel first = connect();
    EmbeddedChannel second = connect();
    slots.onWaiting(first);

    EmbeddedChannel third = connect();

    assertThat(second.isOpen()).isFalse();
    assertThat(first.isOpen()).isTrue();
    assertThat(third.isOpen()).isTrue();
    assertThat(closedCount).hasValue(1);
  }

  @Test
  void closesNewConnectionWhileRequestsAreInProgressOnAll() {
    EmbeddedChannel first = connect();
    EmbeddedChannel second = connect();
    slots.onRequest(first);
    slots.onRequest(second);

    EmbeddedChannel third = connect();

    assertThat(third.isOpen()).isFalse();
    assertThat(first.isOpen()).isTrue();
    assertThat(second.isOpen()).isTrue();
  }

  @Test
  void closedConnectionGivesItsSlotBack() {
    EmbeddedChannel first = connect();
    EmbeddedChannel second = connect();
    slots.onRequest(second);
    first.close();

    EmbeddedChannel third = connect();

    assertThat(third.isOpen()).isTrue();
    assertThat(second.isOpen()).isTrue();
    assertThat(closedCount).hasValue(0);
  }

  /** Guards against a refused connection that gives back a slot that it never had. */
  @Test
  void refusedConnectionsLeaveTheCountAsItIs() {
    slots.onRequest(connect());
    slots.onRequest(connect());
    connect();
    connect();

    assertThat(connect().isOpen()).isFalse();
    assertThat(closedCount).hasValue(3);
  }
}
