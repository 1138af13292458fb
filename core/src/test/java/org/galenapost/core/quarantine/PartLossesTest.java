package org.galenapost.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.Timeout.ThreadMode;

class PartLossesTest {

  private static final String DEADLY = "dead";

  /** The parts that a head of 16 KiB has room for. */
  private static final List<String> LONG_LIST =
      IntStream.range(0, 3_900).mapToObj(Integer::toHexString).toList();

  private final VirtualTime time = new VirtualTime();
  private final PartLosses losses = new PartLosses(time);

  /**
   * Guards against daemons that hang when requests with a long list of parts crash servers, as each
   * part was looked for among the suspects of each loss, and each of those in the list again.
   */
  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS, threadMode = ThreadMode.SEPARATE_THREAD)
  void findsTheCauseAmongVeryManyPartsForManyRequests() {
    // GIVEN losses of requests that share all parts but one
    List<String> crashing = with(DEADLY);
    for (int server = 0; server < 4; server++) {
      losses.add("s" + server, crashing, Duration.ZERO);
      time.advance(Duration.ofSeconds(1));
    }

    // WHEN requests are checked before and after one with the shared parts is answered
    for (int request = 0; request < 200; request++) {
      assertThat(losses.causeAmong(with("new" + request))).isEmpty();
      assertThat(losses.causeAmong(crashing)).contains(DEADLY);
    }
    losses.clear(LONG_LIST);

    // THEN only the crashing ones have a cause
    for (int request = 0; request < 200; request++) {
      assertThat(losses.causeAmong(with("other" + request))).isEmpty();
      assertThat(losses.causeAmong(crashing)).contains(DEADLY);
      assertThat(losses.isExplained("s0")).isTrue();
    }
  }

  @Test
  void countsALossOnceItHasSettled() {
    // GIVEN
    losses.add("s1", List.of(DEADLY), Duration.ofSeconds(8));
    losses.add("s2", List.of(DEADLY), Duration.ofSeconds(4));
    losses.add("s3", List.of(DEADLY), Duration.ZERO);
    assertThat(losses.causeAmong(List.of(DEADLY))).isEmpty();

    // WHEN
    time.advance(PartLosses.SETTLING_TIME.minusNanos(1));
    assertThat(losses.causeAmong(List.of(DEADLY))).isEmpty();
    time.advance(Duration.ofNanos(1));

    // THEN
    assertThat(losses.causeAmong(List.of(DEADLY))).contains(DEADLY);
  }

  private static List<String> with(String partId) {
    List<String> partIds = new ArrayList<>(LONG_LIST);
    partIds.add(partId);
    return partIds;
  }
}
