package org.galenapost.daemon.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.galenapost.core.origin.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HandoverTicketsTest {

  private static final String HEADER = "Galenapost-Handover";
  private static final HandoverTicket TICKET =
      new HandoverTicket("a1", "d0", 2, true, 17, Optional.of(new StreamOrigin("pool", "v1.1")));

  private final HandoverTickets tickets = new HandoverTickets("a secret of sixteen");
  private final HttpHeaders headers = new DefaultHttpHeaders();

  @Test
  void readsWhatItWroteAndRemovesIt() {
    tickets.write(TICKET, headers);

    assertThat(tickets.take("a1", headers)).contains(TICKET);
    assertThat(headers.contains(HEADER)).isFalse();
  }

  @Test
  void replacesTicketThatTheCallerSent() {
    headers.add(HEADER, "forged");

    tickets.write(TICKET, headers);

    assertThat(headers.getAll(HEADER)).hasSize(1);
  }

  @Test
  void rejectsTicketOfAnotherCall() {
    tickets.write(TICKET, headers);

    assertThat(tickets.take("a2", headers)).isEmpty();
  }

  @Test
  void rejectsTicketWithAnotherSecret() {
    new HandoverTickets("another secret of theirs").write(TICKET, headers);

    assertThat(tickets.take("a1", headers)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", ".", "e30", "e30.e30", "\u00e9.\u00e9", "a.b.c"})
  void rejectsWhatIsNoTicket(String value) {
    headers.set(HEADER, value);

    assertThat(tickets.take("a1", headers)).isEmpty();
    assertThat(headers.contains(HEADER)).isFalse();
  }
}
