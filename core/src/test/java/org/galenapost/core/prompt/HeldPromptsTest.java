package org.galenapost.core.prompt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.assertj.core.data.Offset;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class HeldPromptsTest {

  private static final long MEMORY = 88_000;
  private static final Offset<Double> EXACT = within(0.001);
  private static final InstanceKey SERVER = new InstanceKey("e1", 1);
  private static final PromptPart SHARED = new PromptPart(1, 200);
  private static final PromptPart SESSION = new PromptPart(2, 8_000);
  private static final PromptPart OTHER_SESSION = new PromptPart(3, 8_000);

  private final VirtualTime time = new VirtualTime();
  private final HeldPrompts held = new HeldPrompts(time);

  /** Guards against a preference that leaves out the last part, which a session sends again. */
  @Test
  void countsAllPartsOfPromptThatWasRead() {
    held.recordOwnRead(SERVER, List.of(SHARED, SESSION));

    assertThat(tokens(SHARED, SESSION)).isEqualTo(8_200, EXACT);
    assertThat(tokens(SHARED, OTHER_SESSION)).isEqualTo(200, EXACT);
  }

  /** Guards against savings for a part that the server cannot use. */
  @Test
  void countsPartOnlyAfterAllPartsBeforeIt() {
    held.recordOwnRead(SERVER, List.of(SHARED, SESSION));

    assertThat(tokens(OTHER_SESSION, SESSION)).isZero();
    assertThat(tokens(SESSION)).as("a part read behind another one").isEqualTo(8_000, EXACT);
  }

  /** Guards against belief in parts for which the runs have left no memory. */
  @Test
  void evictsLeastRecentlyReadPartsForGoodWhenRunsTakeTheMemory() {
    held.recordOwnRead(SERVER, List.of(SHARED, SESSION));
    held.recordOwnRead(SERVER, List.of(SHARED, OTHER_SESSION));

    assertThat(held.expectedTokens(SERVER, List.of(SHARED, SESSION), MEMORY - 10_000, MEMORY))
        .as("the session read first is evicted, the shared part was read again")
        .isEqualTo(200 * 10_000.0 / MEMORY, EXACT);
    assertThat(tokens(SHARED, SESSION)).as("after the runs ended").isEqualTo(200, EXACT);
    assertThat(tokens(SHARED, OTHER_SESSION)).isEqualTo(8_200, EXACT);
    assertThat(held.expectedTokens(SERVER, List.of(SHARED), MEMORY, MEMORY)).isZero();
    assertThat(tokens(SHARED)).isZero();
  }

  /** Guards against an old belief that counts as much as a new one. */
  @Test
  void chanceFallsWithAgeAndMemoryInUse() {
    held.recordOwnRead(SERVER, List.of(SHARED, SESSION));
    time.advance(Duration.ofSeconds(20));

    assertThat(tokens(SHARED, SESSION)).isEqualTo(4_100, EXACT);
    assertThat(held.expectedTokens(SERVER, List.of(SHARED, SESSION), MEMORY / 2, MEMORY))
        .isEqualTo(2_050, EXACT);
    held.recordOwnRead(SERVER, List.of(SHARED));
    assertThat(tokens(SHARED, SESSION)).isEqualTo(4_200, EXACT);
  }

  /** Guards against a preference for a server that has lost its memory. */
  @Test
  void forgetsPartsAfterRestartAndLoss() {
    held.recordOwnRead(SERVER, List.of(SHARED));
    assertThat(held.expectedTokens(new InstanceKey("e1", 2), List.of(SHARED), 0, MEMORY))
        .as("another start of the server")
        .isZero();

    held.forget(SERVER);
    assertThat(tokens(SHARED)).isZero();

    held.recordReportedRead(SERVER, List.of(SHARED));
    assertThat(tokens(SHARED)).as("a notice that may be older than the loss").isZero();
    time.advance(Duration.ofSeconds(1));
    held.recordReportedRead(SERVER, List.of(SHARED));
    assertThat(tokens(SHARED)).isEqualTo(200, EXACT);
  }

  /** Guards against memory of the daemon that grows with the number of prompts or servers. */
  @Test
  void boundsThePartsOfEachServerAndTheServers() {
    for (int prompt = 0; prompt < 1_000; prompt++) {
      held.recordOwnRead(SERVER, List.of(SHARED, new PromptPart(10 + prompt, 1)));
    }
    held.recordOwnRead(
        new InstanceKey("e2", 1),
        LongStream.range(0, 1_000).mapToObj(id -> new PromptPart(id, 1)).toList());
    assertThat(held.partCount()).isEqualTo(2L * HeldPrompts.MAX_PARTS_PER_SERVER);
    assertThat(tokens(SHARED, new PromptPart(1_009, 1))).isEqualTo(201, EXACT);

    for (int server = 0; server < 2_000; server++) {
      held.recordOwnRead(new InstanceKey("s" + server, 1), List.of(SHARED));
    }
    assertThat(held.partCount()).isEqualTo(HeldPrompts.MAX_SERVERS);
    held.retainOnly(Set.of(new InstanceKey("s1999", 1)));
    assertThat(held.partCount()).isEqualTo(1);
  }

  /** Guards against a notice for each prompt, and against reports of a server that was lost. */
  @Test
  void tellsOtherDaemonsAtMostTwiceSecond() {
    FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
    HeldPromptsExchange own =
        new HeldPromptsExchange(new HeldPrompts(time), network.join("d1"), time);
    HeldPromptsExchange other = new HeldPromptsExchange(held, network.join("d2"), time);
    own.start();
    other.start();
    InstanceKey lost = new InstanceKey("e2", 1);

    for (int prompt = 0; prompt < 100; prompt++) {
      own.onPromptRead(SERVER, List.of(SHARED, SESSION));
      own.onPromptRead(lost, List.of(SHARED));
      time.advance(Duration.ofMillis(10));
    }
    own.onPromptRead(lost, List.of(SHARED));
    own.onLost(lost);
    time.advance(Duration.ofSeconds(1));

    assertThat(network.sentMessages()).isBetween(2L, 3L);
    assertThat(tokens(SHARED, SESSION)).isGreaterThan(7_000);
    held.forget(lost);
    own.onPromptRead(SERVER, List.of());
    time.advance(Duration.ofSeconds(10));
    assertThat(network.sentMessages()).as("nothing to tell").isBetween(2L, 3L);
  }

  private double tokens(PromptPart... parts) {
    return held.expectedTokens(SERVER, List.of(parts), 0, MEMORY);
  }
}
