package org.galenapost.core.loss;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LossDetectorTest {

  private static final LossSettings SETTINGS = LossSettings.defaults();

  private final ServerPace pace = new ServerPace();
  private long nowNanos;

  @Test
  void asksForProbeAfterGapAndLosesWhenItStaysUnanswered() {
    // GIVEN
    LossDetector detector = streaming(StallGuard.NONE);

    // WHEN
    advance(SETTINGS.tokenGapFloor());
    LossDecision suspicion = detector.check(nowNanos);
    advance(SETTINGS.probeTimeout());
    LossDecision loss = detector.check(nowNanos);

    // THEN
    assertThat(suspicion).isEqualTo(new LossDecision.Probe(true, SETTINGS.probeTimeout()));
    assertThat(loss).isEqualTo(new LossDecision.Lost(LossReason.PROBE_FAILED));
  }

  @Test
  void probesAgainWhenServerFreezesAfterAnswering() {
    // GIVEN
    LossDetector detector = streaming(StallGuard.NONE);
    advance(SETTINGS.tokenGapFloor());
    detector.check(nowNanos);
    detector.onProbeAnswered(nowNanos);

    // WHEN
    advance(SETTINGS.tokenGapFloor());
    LossDecision second = detector.check(nowNanos);
    LossDecision failed = detector.onProbeFailed(nowNanos);

    // THEN
    assertThat(second).isEqualTo(new LossDecision.Probe(false, SETTINGS.probeTimeout()));
    assertThat(failed).isEqualTo(new LossDecision.Lost(LossReason.PROBE_FAILED));
  }

  @Test
  void losesAttemptThatStaysSilentThoughProbesAreAnswered() {
    LossDetector detector = streaming(StallGuard.NONE);

    LossDecision decision = new LossDecision.Wait(Duration.ZERO);
    while (!(decision instanceof LossDecision.Lost)) {
      advance(Duration.ofMillis(100));
      decision = detector.check(nowNanos);
      detector.onProbeAnswered(nowNanos);
    }

    assertThat(decision).isEqualTo(new LossDecision.Lost(LossReason.STUCK));
    assertThat(Duration.ofNanos(nowNanos)).isLessThan(Duration.ofMillis(4500));
  }

  @Test
  void waitsLongerForServerThatIsUsuallySlow() {
    // GIVEN
    for (int i = 0; i < 50; i++) {
      pace.recordTokenGap(Duration.ofMillis(200).toNanos());
    }
    LossDetector detector = streaming(StallGuard.NONE);

    // WHEN
    advance(Duration.ofMillis(900));

    // THEN
    assertThat(detector.check(nowNanos)).isInstanceOf(LossDecision.Wait.class);
  }

  @Test
  void voidsSilenceThatSpansAnOwnStall() {
    // GIVEN
    SelfStallGuard guard =
        new SelfStallGuard(SelfStallGuard.TICK_INTERVAL, SelfStallGuard.TOLERANCE, nowNanos);
    LossDetector guarded = streaming(guard);
    LossDetector unguarded = streaming(StallGuard.NONE);

    // WHEN
    advance(Duration.ofSeconds(3));

    // THEN
    assertThat(guarded.check(nowNanos)).isInstanceOf(LossDecision.Wait.class);
    assertThat(unguarded.check(nowNanos)).isInstanceOf(LossDecision.Probe.class);
  }

  @Test
  void findsLossAfterAnOwnStallHasEnded() {
    // GIVEN
    SelfStallGuard guard =
        new SelfStallGuard(SelfStallGuard.TICK_INTERVAL, SelfStallGuard.TOLERANCE, nowNanos);
    LossDetector detector = streaming(guard);
    advance(Duration.ofSeconds(3));
    detector.check(nowNanos);
    guard.tick(nowNanos);

    // WHEN
    for (int i = 0; i < 8; i++) {
      advance(SelfStallGuard.TICK_INTERVAL);
      guard.tick(nowNanos);
    }

    // THEN
    assertThat(detector.check(nowNanos)).isInstanceOf(LossDecision.Probe.class);
    assertThat(guard.stallCount()).isEqualTo(1);
  }

  private LossDetector streaming(StallGuard guard) {
    LossDetector detector = new LossDetector(SETTINGS, pace, guard, nowNanos);
    detector.onToken(nowNanos);
    return detector;
  }

  private void advance(Duration duration) {
    nowNanos += duration.toNanos();
  }
}
