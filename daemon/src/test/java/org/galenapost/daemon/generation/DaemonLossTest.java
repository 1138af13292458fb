package org.galenapost.daemon.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.profile.RerunPolicy;
import org.galenapost.core.verdict.RefusalReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DaemonLossTest {

  private static final int DELIVERED_TOKENS = 6;

  private final GenerationFixture fixture = new GenerationFixture();
  private final FakeEngines engines = fixture.engines;
  private final TestPeers peers = new TestPeers();
  private final StreamingGenerationService firstDaemon = fixture.daemon("d1", peers.bus("d1"));
  private final StreamingGenerationService secondDaemon = fixture.daemon("d2", peers.bus("d2"));
  private final RecordingSink sinkBefore = new RecordingSink();
  private final RecordingSink sinkAfter = new RecordingSink();

  @BeforeEach
  void deliverFirstTokens() {
    firstDaemon.start(fixture.request("p", RecoveryPolicy.HEDGE, true), sinkBefore).onWritable();
    engines.produce(DELIVERED_TOKENS);
  }

  @Test
  void attachesThroughAnotherDaemonByResumeHandle() {
    secondDaemon.resume(sinkBefore.lastHandle, fixture.request("p", RecoveryPolicy.HEDGE, false), sinkAfter);
    engines.produce(FakeEngines.ANSWER_TOKENS);

    assertThat(engines.started).hasSize(1);
    assertThat(sinkAfter.tokens).isEqualTo(undeliveredTokens());
    assertThat(sinkAfter.offsets.get(0)).isEqualTo(DELIVERED_TOKENS);
    assertThat(sinkAfter.finish).contains("length");
  }

  @Test
  void runsAgainWithSameSeedWhenTheEngineIsGoneAsWell() {
    engines.crash("s1");

    secondDaemon.resume(sinkBefore.lastHandle, fixture.request("p", RecoveryPolicy.HEDGE, false), sinkAfter);
    engines.produce(FakeEngines.ANSWER_TOKENS + 1);

    assertThat(sinkAfter.tokens).isEqualTo(undeliveredTokens());
    assertThat(sinkAfter.newGenerations).isEmpty();
  }

  @Test
  void announcesNewGenerationWhenTheRepeatedRunDiffers() {
    // GIVEN
    engines.crash("s1");
    engines.changeText();

    // WHEN
    secondDaemon.resume(sinkBefore.lastHandle, fixture.request("p", RecoveryPolicy.HEDGE, false), sinkAfter);
    engines.produce(FakeEngines.ANSWER_TOKENS + 1);

    // THEN
    assertThat(sinkAfter.newGenerations).containsExactly("g-new");
    assertThat(sinkAfter.tokens)
        .hasSize(FakeEngines.ANSWER_TOKENS)
        .allSatisfy(token -> assertThat(token).startsWith("other "));
    assertThat(sinkAfter.finish).contains("length");
  }

  @Test
  void resumesTheNewGenerationByItsOwnHandles() {
    // GIVEN
    engines.crash("s1");
    engines.changeText();
    secondDaemon.resume(sinkBefore.lastHandle, fixture.request("p", RecoveryPolicy.HEDGE, false), sinkAfter);
    engines.produce(DELIVERED_TOKENS + 2);

    // WHEN
    RecordingSink third = new RecordingSink();
    firstDaemon.resume(sinkAfter.lastHandle, fixture.request("p", RecoveryPolicy.HEDGE, false), third);
    engines.produce(FakeEngines.ANSWER_TOKENS);

    // THEN
    assertThat(third.resumedId).contains("g-new");
    assertThat(third.offsets.get(0)).isEqualTo(DELIVERED_TOKENS + 2);
    assertThat(third.tokens).hasSize(FakeEngines.ANSWER_TOKENS - DELIVERED_TOKENS - 2);
    assertThat(third.newGenerations).isEmpty();
  }

  @Test
  void refusesNewGenerationIfTheProfileForbidsIt() {
    // GIVEN
    engines.crash("s1");
    engines.changeText();

    // WHEN
    secondDaemon.resume(
        sinkBefore.lastHandle,
        fixture.request("p", RecoveryPolicy.HEDGE, RerunPolicy.ERROR, false),
        sinkAfter);
    engines.produce(FakeEngines.ANSWER_TOKENS + 1);

    // THEN
    assertThat(sinkAfter.tokens).isEmpty();
    assertThat(sinkAfter.refusal)
        .hasValueSatisfying(
            it -> assertThat(it.reason()).isEqualTo(RefusalReason.NEW_GENERATION_REFUSED));
  }

  @Test
  void resumesWhenTheEngineCrashesDuringReplay() {
    // GIVEN
    secondDaemon.resume(sinkBefore.lastHandle, fixture.request("p", RecoveryPolicy.HEDGE, false), sinkAfter);
    engines.produce(1);

    // WHEN
    engines.crash("s1");
    engines.produce(FakeEngines.ANSWER_TOKENS + 1);

    // THEN
    assertThat(sinkAfter.tokens).isEqualTo(undeliveredTokens());
  }

  @Test
  void refusesForeignAndExpiredHandles() {
    // GIVEN
    RecordingSink expired = new RecordingSink();

    // WHEN
    secondDaemon.resume(sinkBefore.lastHandle, fixture.request("q", RecoveryPolicy.HEDGE, false), sinkAfter);
    fixture.time.stall(Duration.ofMinutes(20));
    secondDaemon.resume(sinkBefore.lastHandle, fixture.request("p", RecoveryPolicy.HEDGE, false), expired);

    // THEN
    assertThat(sinkAfter.refusal)
        .hasValueSatisfying(
            it -> assertThat(it.reason()).isEqualTo(RefusalReason.RESUME_HANDLE_INVALID));
    assertThat(expired.refusal)
        .hasValueSatisfying(
            it -> assertThat(it.reason()).isEqualTo(RefusalReason.RESUME_HANDLE_EXPIRED));
  }

  @Test
  void sameRequestSentAgainFindsTheRunningGeneration() {
    secondDaemon.start(fixture.request("p", RecoveryPolicy.HEDGE, true), sinkAfter);
    engines.produce(FakeEngines.ANSWER_TOKENS);

    assertThat(engines.started).hasSize(1);
    assertThat(sinkAfter.tokens).isEqualTo(GenerationFixture.expectedTokens(7));
  }

  private static List<String> undeliveredTokens() {
    return GenerationFixture.expectedTokens(7).subList(DELIVERED_TOKENS, FakeEngines.ANSWER_TOKENS);
  }
}
