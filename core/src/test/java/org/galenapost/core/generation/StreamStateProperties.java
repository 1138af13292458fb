package org.galenapost.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class StreamStateProperties {

  private static final int LENGTH = 12;
  private static final GenerationPin PIN =
      new GenerationPin("m1", Optional.empty(), Optional.empty(), 7, 0.0, 1.0);

  /** What an engine or the network does to one of the attempts started so far. */
  enum Move {
    START,
    NEXT,
    REPEAT,
    SKIP,
    OTHER_VERSION,
    OTHER_GENERATION,
    EARLY_FINISH,
    DIE,
    RETURN_LATE
  }

  record Event(Move move, int attemptPick, int distance) {}

  @Provide
  Arbitrary<List<Event>> events() {
    Arbitrary<Move> moves =
        Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(8, Arbitraries.just(Move.NEXT)),
            net.jqwik.api.Tuple.of(3, Arbitraries.just(Move.START)),
            net.jqwik.api.Tuple.of(6, Arbitraries.of(Move.class)));
    Arbitrary<Event> event =
        Combinators.combine(
                moves, Arbitraries.integers().between(0, 5), Arbitraries.integers().between(1, 3))
            .as(Event::new);
    return event.list().ofMinSize(1).ofMaxSize(120);
  }

  @Property(tries = 2000, seed = "4611")
  void emitsExactlyTheExpectedTextWhateverHappens(@ForAll("events") List<Event> events) {
    Run run = new Run(StreamState.fresh("g-1", PIN), 0);

    events.forEach(run::apply);
    run.complete();

    assertThat(run.emitted).isEqualTo(expected(0));
  }

  @Property(tries = 1000, seed = "4612")
  void continuesAfterDeliveredTextWhateverHappens(@ForAll("events") List<Event> events) {
    int delivered = events.size() % LENGTH;
    RollingHash hash = RollingHash.EMPTY.append(String.join("", expected(0).subList(0, delivered)));
    Run run = new Run(StreamState.replaying("g-1", PIN, 40, delivered, hash), delivered);

    events.forEach(run::apply);
    run.complete();

    assertThat(run.emitted).isEqualTo(expected(delivered));
  }

  @Property(tries = 500, seed = "4613")
  void neverFollowsDeliveredTextWithAnotherGenerations(@ForAll("events") List<Event> events) {
    int delivered = 1 + events.size() % (LENGTH - 1);
    RollingHash hash = RollingHash.EMPTY.append("text of another run");
    Run run = new Run(StreamState.replaying("g-1", PIN, 40, delivered, hash), delivered);

    events.forEach(run::apply);
    run.complete();

    assertThat(run.emitted).isEmpty();
    assertThat(run.diverged).isTrue();
  }

  private static List<String> expected(int from) {
    List<String> tokens = new ArrayList<>();
    for (int i = from; i < LENGTH; i++) {
      tokens.add(token(i));
    }
    return tokens;
  }

  private static String token(int offset) {
    return "t" + offset + "\u00e6\uD83D\uDE00 ";
  }

  /** Plays engines that crash, repeat, skip and return against one state. */
  private static final class Run {

    private final StreamState state;
    private final int delivered;
    private final List<AttemptId> attempts = new ArrayList<>();
    private final Map<AttemptId, Integer> positions = new HashMap<>();
    private final List<String> emitted = new ArrayList<>();
    private boolean diverged;
    private boolean finished;

    Run(StreamState state, int delivered) {
      this.state = state;
      this.delivered = delivered;
    }

    void apply(Event event) {
      if (finished || diverged) {
        return;
      }
      if (event.move() == Move.START || attempts.isEmpty()) {
        start();
        return;
      }
      AttemptId attempt = attempts.get(event.attemptPick() % attempts.size());
      int position = positions.get(attempt);
      switch (event.move()) {
        case NEXT, RETURN_LATE -> deliver(attempt, position, "v1", token(position));
        case REPEAT -> deliver(attempt, Math.max(0, position - event.distance()), "v1", "x");
        case SKIP -> deliver(attempt, state.nextOffset() + event.distance(), "v1", "gap");
        case OTHER_VERSION -> deliver(attempt, state.nextOffset(), "v2", "other");
        case OTHER_GENERATION ->
            deliver(new AttemptId("g-2", 1), state.nextOffset(), "v1", "crossed");
        case EARLY_FINISH -> finish(attempt, Math.max(0, state.nextOffset() - event.distance()));
        case DIE -> state.endAttempt(attempt);
        case START -> throw new IllegalStateException("handled above");
        default -> throw new IllegalStateException("unknown move " + event.move());
      }
    }

    private void start() {
      if (state.liveAttemptCount() < StreamState.MAX_LIVE_ATTEMPTS) {
        AttemptStart start = state.startAttempt();
        attempts.add(start.attempt());
        positions.put(start.attempt(), start.accepted().size());
        assertThat(start.accepted()).isEqualTo(expected(0).subList(0, state.nextOffset()));
      }
    }

    private void deliver(AttemptId attempt, int offset, String version, String text) {
      boolean isWellFormed = text.startsWith("t") && version.equals("v1");
      if (isWellFormed && offset >= LENGTH) {
        finish(attempt, LENGTH);
        return;
      }
      if (offset >= state.nextOffset() && !isWellFormed && offset == state.nextOffset()) {
        if (state.pin().version().isEmpty() && version.equals("v2")) {
          return;
        }
        if (version.equals("v1") && state.isLive(attempt)) {
          return;
        }
      }
      positions.computeIfPresent(attempt, (id, at) -> Math.max(at, offset + 1));
      note(state.apply(new EngineEvent.Token(attempt, offset, "m1", version, text)));
    }

    private void finish(AttemptId attempt, int offset) {
      if (offset == state.nextOffset() && offset < LENGTH) {
        return;
      }
      note(state.apply(new EngineEvent.Finish(attempt, offset, "m1", "v1", "stop")));
    }

    private void note(StreamOutcome outcome) {
      if (outcome instanceof StreamOutcome.Accepted accepted) {
        assertThat(accepted.offset()).isEqualTo(delivered + emitted.size());
        assertThat(accepted.hash())
            .isEqualTo(
                RollingHash.EMPTY.append(
                    String.join("", expected(0).subList(0, accepted.offset() + 1))));
        emitted.add(accepted.text());
      } else if (outcome instanceof StreamOutcome.Diverged) {
        diverged = true;
      } else if (outcome instanceof StreamOutcome.Finished) {
        finished = true;
      }
    }

    void complete() {
      state.liveAttempts().forEach(state::endAttempt);
      if (finished || diverged) {
        return;
      }
      AttemptId last = state.startAttempt().attempt();
      for (int i = state.nextOffset(); i < LENGTH && !diverged; i++) {
        note(state.apply(new EngineEvent.Token(last, i, "m1", "v1", token(i))));
      }
      if (!diverged) {
        finish(last, LENGTH);
        assertThat(finished).isTrue();
      }
    }
  }
}
