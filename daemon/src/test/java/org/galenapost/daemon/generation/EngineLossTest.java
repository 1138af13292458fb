package org.galenapost.daemon.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.GenerationHandle;
import org.galenapost.core.loss.SelfStallGuard;
import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineLossTest {

  private static final Duration TICK = Duration.ofMillis(20);

  private final GenerationFixture fixture = new GenerationFixture();
  private final FakeEngines engines = fixture.engines;
  private final RecordingSink sink = new RecordingSink();

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 7, FakeEngines.ANSWER_TOKENS - 1, FakeEngines.ANSWER_TOKENS})
  void resumesFromNextOffsetWhenServerCrashes(int delivered) {
    // GIVEN
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    streamTokens(delivered);

    // WHEN
    engines.crash("s1");
    fixture.time.advance(Duration.ofMillis(1));

    // THEN
    assertThat(engines.serverOf(engines.lastStarted())).isEqualTo("s2");
    assertThat(engines.running.get(engines.lastStarted()).startOffset).isEqualTo(delivered);
    assertCompleteAnswer();
  }

  @Test
  void resumesAgainWhenSecondServerCrashesDuringTheResume() {
    // GIVEN
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    streamTokens(5);
    engines.crash("s1");

    // WHEN
    engines.crash("s2");

    // THEN
    assertThat(engines.serverOf(engines.lastStarted())).isEqualTo("s3");
    assertCompleteAnswer();
  }

  @Test
  void attachesAgainWhenOnlyTheConnectionBroke() {
    // GIVEN
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    streamTokens(5);

    // WHEN
    engines.breakConnections("s1");

    // THEN
    assertThat(engines.attached).containsExactly(engines.lastStarted());
    assertThat(engines.started).hasSize(1);
    assertCompleteAnswer();
  }

  @Test
  void movesFromSilentServerAfterProbeFails() {
    // GIVEN
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    streamTokens(5);
    AttemptId silent = engines.lastStarted();

    // WHEN
    engines.frozen.add("s1");
    fixture.time.advance(Duration.ofMillis(950));

    // THEN
    assertThat(engines.started).hasSize(2);
    assertThat(engines.cancelled).containsExactly(silent);
    assertCompleteAnswer();
  }

  @Test
  void attemptWithFirstNextTokenWinsWhenFrozenServerRecovers() {
    // GIVEN
    start(RecoveryPolicy.HEDGE);
    streamTokens(5);
    AttemptId first = engines.lastStarted();
    engines.frozen.add("s1");
    fixture.time.advance(Duration.ofMillis(420));
    assertThat(engines.started).as("a second attempt before the probe fails").hasSize(2);
    AttemptId hedge = engines.lastStarted();

    // WHEN
    engines.frozen.clear();
    engines.produce(1);

    // THEN
    assertThat(engines.running).containsOnlyKeys(first);
    assertThat(engines.cancelled).containsExactly(hedge);
    assertCompleteAnswer();
  }

  @Test
  void ignoresLateTokenOfReplacedAttempt() {
    // GIVEN
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    streamTokens(5);
    FakeEngines.Attempt late = engines.running.get(engines.lastStarted());
    FakeEngines.Connection reading = late.connections.get(0);
    engines.frozen.add("s1");
    fixture.time.advance(Duration.ofMillis(950));
    streamTokens(3);

    // WHEN
    List<String> before = List.copyOf(sink.tokens);
    reading.listener.onEvent(
        new org.galenapost.core.generation.EngineEvent.Token(late.id, 8, "m1", "v1", "late"));

    // THEN
    assertThat(sink.tokens).isEqualTo(before);
    assertCompleteAnswer();
  }

  @Test
  void movesFromServerThatAnswersProbesButIsStuck() {
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    streamTokens(5);

    engines.stuck.add("s1");
    fixture.time.advance(Duration.ofMillis(3_500));

    assertThat(engines.started).hasSize(2);
    assertCompleteAnswer();
  }

  @Test
  void doesNotMoveBecauseOfItsOwnStall() {
    // GIVEN
    SelfStallGuard guard =
        new SelfStallGuard(
            SelfStallGuard.TICK_INTERVAL, SelfStallGuard.TOLERANCE, fixture.time.nanos());
    fixture.stallGuard = guard;
    tick(guard);
    start(RecoveryPolicy.HEDGE);
    streamTokens(5);

    // WHEN
    fixture.time.stall(Duration.ofSeconds(4));
    fixture.time.advance(TICK);

    // THEN
    assertThat(engines.started).hasSize(1);
    assertThat(sink.hasDecision(DecisionKind.ATTEMPT_SILENT)).isFalse();
    assertCompleteAnswer();
  }

  private void tick(SelfStallGuard guard) {
    guard.tick(fixture.time.nanos());
    fixture.time.schedule(SelfStallGuard.TICK_INTERVAL, () -> tick(guard));
  }

  @Test
  void endsAttemptOfAnotherVersion() {
    // GIVEN
    engines.versions.put("s2", "v2");
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    streamTokens(5);

    // WHEN
    engines.crash("s1");
    engines.produce(1);

    // THEN
    assertThat(engines.serverOf(engines.lastStarted())).isEqualTo("s3");
    assertThat(fixture.routeRequests.get(1).version()).contains("v1");
    assertCompleteAnswer();
  }

  @Test
  void pacesResumesAfterMassLossAheadOfNewWork() {
    // GIVEN
    fixture.prefillsPerServer = 1;
    fixture.requestGuard = Optional.of(RequestGuard.NONE);
    fixture.serverIds.remove("s3");
    StreamingGenerationService daemon = fixture.daemon("d1", new TestPeers().bus("d1"));
    List<RecordingSink> sinks = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      RecordingSink reader = new RecordingSink();
      sinks.add(reader);
      daemon.start(fixture.request("p" + i, RecoveryPolicy.WAIT_THEN_MOVE, false), reader);
    }
    engines.produce(2);
    engines.started.clear();

    // WHEN
    engines.crash("s1");
    RecordingSink late = new RecordingSink();
    daemon.start(fixture.request("new", RecoveryPolicy.WAIT_THEN_MOVE, false), late);

    // THEN
    assertThat(engines.started).as("one prefill at a time, and no new work").hasSize(1);
    for (int i = 0; i < 200; i++) {
      engines.produce(1);
      fixture.time.advance(TICK);
    }
    assertThat(engines.lastStarted().generationId()).isEqualTo("g-new");
    sinks.forEach(reader -> assertThat(reader.tokens).isEqualTo(GenerationFixture.expectedTokens(7)));
    assertThat(late.tokens).isEqualTo(GenerationFixture.expectedTokens(7));
  }

  @Test
  void stopsReadingWhileReaderIsSlow() {
    // GIVEN
    GenerationHandle handle = start(RecoveryPolicy.HEDGE);
    sink.isWritable = false;
    engines.produce(5);
    assertThat(sink.tokens).hasSize(1);

    // WHEN
    fixture.time.advance(Duration.ofSeconds(30));
    sink.isWritable = true;
    handle.onWritable();

    // THEN
    assertThat(engines.started).as("silence of one's own making is no loss").hasSize(1);
    assertCompleteAnswer();
  }

  @Test
  void refusesAtOnceAtTheDeadline() {
    start(RecoveryPolicy.WAIT_THEN_MOVE);
    engines.stuck.add("s1");
    fixture.serverIds.clear();

    fixture.time.advance(Duration.ofMinutes(5));

    assertThat(sink.refusal).hasValueSatisfying(it -> assertThat(it.detail()).isNotEmpty());
    assertThat(engines.running).isEmpty();
  }

  @Test
  void detachesWhenReaderIsGone() {
    GenerationHandle handle = start(RecoveryPolicy.HEDGE);
    streamTokens(3);

    handle.cancel();
    fixture.time.advance(Duration.ofSeconds(10));

    assertThat(engines.cancelled).isEmpty();
    assertThat(engines.running.get(engines.lastStarted()).connections.get(0).isClosed).isTrue();
  }

  @Test
  void refusesRequestThatCrashesServersAfterTwo() {
    // GIVEN
    TestPeers peers = new TestPeers();
    StreamingGenerationService first = fixture.daemon("d1", peers.bus("d1"));
    StreamingGenerationService second = fixture.daemon("d2", peers.bus("d2"));
    engines.crashPrompts.add("bad");

    // WHEN
    first.start(fixture.request("bad", RecoveryPolicy.HEDGE, false), sink);
    RecordingSink again = new RecordingSink();
    second.start(fixture.request("bad", RecoveryPolicy.HEDGE, false), again);

    // THEN
    assertThat(engines.crashed).hasSize(2);
    assertThat(sink.refusal.map(Refusal::reason)).contains(RefusalReason.QUARANTINED);
    assertThat(sink.refusal.map(Refusal::verdict)).contains(Verdict.MAY_HAVE_RUN);
    assertThat(again.refusal.map(Refusal::reason)).contains(RefusalReason.QUARANTINED);
    assertThat(again.refusal.map(Refusal::verdict)).contains(Verdict.NOT_RUN);
  }

  @Test
  void doesNotBlameRequestThatNeverReachedTheServer() {
    // GIVEN
    engines.crashed.addAll(List.of("s1", "s2"));

    // WHEN
    start(RecoveryPolicy.HEDGE);

    // THEN
    assertThat(engines.serverOf(engines.lastStarted())).isEqualTo("s3");
    assertCompleteAnswer();
  }

  private GenerationHandle start(RecoveryPolicy recovery) {
    return fixture
        .daemon("d1", new TestPeers().bus("d1"))
        .start(fixture.request("p", recovery, false), sink);
  }

  private void streamTokens(int tokens) {
    for (int i = 0; i < tokens; i++) {
      engines.produce(1);
      fixture.time.advance(TICK);
    }
  }

  private void assertCompleteAnswer() {
    streamTokens(FakeEngines.ANSWER_TOKENS + 1);
    assertThat(sink.tokens).isEqualTo(GenerationFixture.expectedTokens(7));
    assertThat(sink.finish).contains("length");
  }
}
