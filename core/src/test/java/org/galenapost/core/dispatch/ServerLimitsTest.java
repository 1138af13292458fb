package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a daemon believes of a server's limit, by its responses and the notices of others. */
class ServerLimitsTest {

  private static final InstanceKey SERVER = new InstanceKey("i-1", 1_000);
  private static final Duration STEP = Duration.ofMillis(10);

  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
  private final List<String> events = new ArrayList<>();
  private final ServerLimits limits = newLimits("d1");
  private final ServerLimits otherLimits = newLimits("d2");

  @BeforeEach
  void start() {
    limits.start();
    otherLimits.start();
    time.advance(STEP);
  }

  @Test
  void tellsOtherDaemonsOfLimitAndOfItsEnd() {
    respond(RateStatement.limitedTo(2.3));
    assertThat(otherLimits.requestsPerS(SERVER)).hasValue(2.3);

    respond(RateStatement.unlimited());

    assertThat(otherLimits.requestsPerS(SERVER)).isEmpty();
    assertThat(events).containsExactly("d1 2.3", "d2 2.3", "d1 ended", "d2 ended");
  }

  @Test
  void keepsLimitWhenAnEarlierCallIsAnsweredWithoutOne() {
    long sentBeforeNanos = time.nanos();
    respond(RateStatement.limitedTo(2.3));

    limits.onResponse(SERVER, RateStatement.unlimited(), sentBeforeNanos);

    assertThat(limits.requestsPerS(SERVER)).hasValue(2.3);
  }

  @Test
  void keepsLimitWhenAnAnswerCannotBeRead() {
    respond(RateStatement.limitedTo(2.3));

    respond(RateStatement.unreadable());

    assertThat(limits.requestsPerS(SERVER)).hasValue(2.3);
  }

  @Test
  void followsLimitThatChanges() {
    respond(RateStatement.limitedTo(2.3));
    respond(RateStatement.limitedTo(2.4));
    respond(RateStatement.limitedTo(8));

    assertThat(limits.requestsPerS(SERVER)).hasValue(8);
    assertThat(otherLimits.requestsPerS(SERVER)).hasValue(8);
    assertThat(events).containsExactly("d1 2.3", "d2 2.3", "d1 8.0", "d2 8.0");
  }

  @Test
  void limitEndsWithTheLifeOfTheServer() {
    respond(RateStatement.limitedTo(2.3));
    InstanceKey replacement = new InstanceKey("i-1", 2_000);

    limits.retainOnly(Set.of(replacement));

    assertThat(limits.requestsPerS(replacement)).isEqualTo(OptionalDouble.empty());
    assertThat(limits.count()).isZero();
  }

  private void respond(RateStatement statement) {
    long sentNanos = time.nanos();
    time.advance(STEP);
    limits.onResponse(SERVER, statement, sentNanos);
    time.advance(STEP);
  }

  private ServerLimits newLimits(String id) {
    return new ServerLimits(
        network.join(id),
        time,
        new ServerLimits.Listener() {
          @Override
          public void onNamed(InstanceKey server, double requestsPerS) {
            events.add(id + " " + requestsPerS);
          }

          @Override
          public void onEnded(InstanceKey server) {
            events.add(id + " ended");
          }
        });
  }
}
