package org.galenapost.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StreamStateTest {

  private final StreamState state =
      StreamState.fresh(
          "g-1", new GenerationPin("m1", Optional.empty(), Optional.empty(), 7, 0.0, 1.0));

  @Test
  void firstNextOffsetWinsAndTheOtherAttemptIsFenced() {
    // GIVEN
    AttemptId silent = state.startAttempt().attempt();
    state.apply(token(silent, 0));
    AttemptId hedge = state.startAttempt().attempt();

    // WHEN
    StreamOutcome win = state.apply(token(hedge, 1));
    StreamOutcome late = state.apply(token(silent, 1));

    // THEN
    assertThat(win)
        .isInstanceOfSatisfying(
            StreamOutcome.Accepted.class, it -> assertThat(it.losers()).containsExactly(silent));
    assertThat(late).isEqualTo(new StreamOutcome.Fenced(silent));
  }

  @Test
  void gapEndsTheAttempt() {
    AttemptId attempt = state.startAttempt().attempt();

    StreamOutcome outcome = state.apply(token(attempt, 1));

    assertThat(outcome).isEqualTo(new StreamOutcome.AttemptEnded(attempt, AttemptEndReason.GAP));
    assertThat(state.isLive(attempt)).isFalse();
  }

  @Test
  void otherVersionEndsTheAttempt() {
    AttemptId attempt = state.startAttempt().attempt();
    state.apply(token(attempt, 0));

    StreamOutcome outcome = state.apply(new EngineEvent.Token(attempt, 1, "m1", "v2", "b"));

    assertThat(outcome)
        .isEqualTo(new StreamOutcome.AttemptEnded(attempt, AttemptEndReason.VERSION_CHANGED));
  }

  @Test
  void shorterRepeatedRunDiverges() {
    // GIVEN
    StreamState replay = StreamState.replaying("g-1", state.pin(), 3, 2, RollingHash.EMPTY);
    AttemptId attempt = replay.startAttempt().attempt();
    replay.apply(token(attempt, 0));

    // WHEN
    StreamOutcome outcome = replay.apply(new EngineEvent.Finish(attempt, 1, "m1", "v1", "stop"));

    // THEN
    assertThat(attempt.number()).isEqualTo(4);
    assertThat(outcome)
        .isEqualTo(new StreamOutcome.Diverged(List.of("a"), Optional.of("stop"), List.of()));
  }

  private static EngineEvent.Token token(AttemptId attempt, int offset) {
    return new EngineEvent.Token(attempt, offset, "m1", "v1", "a");
  }
}
