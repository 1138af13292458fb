package org.galenapost.core.action;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.FakePlatform.Fault;
import org.galenapost.core.testing.VirtualTime;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.Verdict;

class ActionProperties {

  private static final int DAEMONS = 3;
  private static final int KEYS = 3;
  private static final int STEPS = 60;

  @Property(seed = "5201", tries = 500)
  void runsEachActionAtMostOnceUnderAnyFaults(@ForAll long seed) {
    // GIVEN daemons whose platform loses answers, refuses and conflicts, and whose links are cut
    Simulation simulation = new Simulation(new Random(seed));

    // WHEN callers send few keys again and again through all daemons, and holders pause and die
    for (int step = 0; step < STEPS; step++) {
      simulation.step();
    }
    simulation.heal();

    // THEN the service ran each key at most once, and recorded answers are those of the run
    assertThat(simulation.runs.values()).allMatch(runs -> runs <= 1);
    assertThat(simulation.wrongAnswers).isEmpty();
  }

  @Property(seed = "5202", tries = 200)
  void letsActionRunOnceFaultsAreOverAndNothingWasSent(@ForAll long seed) {
    // GIVEN claims made under faults, of which none is ever sent
    Simulation simulation = new Simulation(new Random(seed));
    simulation.mayUsePermits = false;
    for (int step = 0; step < STEPS; step++) {
      simulation.step();
    }
    simulation.heal();

    // WHEN each key is sent again THEN it is let through
    for (int key = 0; key < KEYS; key++) {
      Optional<Either<Refusal, ActionDecision>> result = simulation.claim(0, key);
      assertThat(result.orElseThrow().isRight()).as("%s", result).isTrue();
    }
  }

  private static final class Simulation {
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform();
    private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
    private final List<FakePlatform.Client> clients = new ArrayList<>();
    private final List<ActionGate> gates = new ArrayList<>();
    private final Set<String> suspectedDaemons = new HashSet<>();
    private final OpenClaims operator;
    private final Map<Integer, Integer> runs = new HashMap<>();
    private final List<String> wrongAnswers = new ArrayList<>();
    private boolean mayUsePermits = true;
    private int attempts;

    Simulation(Random random) {
      this.random = random;
      for (int i = 0; i < DAEMONS; i++) {
        addDaemon("d" + i);
      }
      operator = new OpenClaims(platform.newClient(), newStore(platform.newClient())::submit);
    }

    void step() {
      FakePlatform.Client client = clients.get(random.nextInt(DAEMONS));
      switch (random.nextInt(8)) {
        case 0 -> client.faultNextWrites(Fault.values()[random.nextInt(4)], Fault.ANSWER_LOST);
        case 1 -> client.setDown(random.nextBoolean());
        case 2 -> network.cut("d" + random.nextInt(DAEMONS), "d" + random.nextInt(DAEMONS));
        case 3 -> network.healAll();
        case 4 -> settleWhatNeverRan();
        default -> send(random.nextInt(DAEMONS), random.nextInt(KEYS));
      }
      time.advance(Duration.ofMillis(random.nextInt(3) == 0 ? 20_000 : random.nextInt(300)));
    }

    void heal() {
      clients.forEach(FakePlatform.Client::heal);
      network.healAll();
      time.advance(Duration.ofMinutes(5));
    }

    Optional<Either<Refusal, ActionDecision>> claim(int daemon, int key) {
      var result = gates.get(daemon).claim(identity(key)).toCompletableFuture();
      time.advance(Duration.ofSeconds(5));
      return Optional.ofNullable(result.getNow(null));
    }

    private void send(int daemon, int key) {
      gates.get(daemon).claim(identity(key)).thenAccept(result -> onDecision(key, result));
    }

    private void onDecision(int key, Either<Refusal, ActionDecision> result) {
      result.peekLeft(refusal -> assertThat(refusal.verdict()).isNotEqualTo(Verdict.RAN));
      result.peek(
          decision -> {
            if (decision instanceof ActionDecision.Recorded recorded) {
              checkAnswer(key, recorded.answer());
            } else if (decision instanceof ActionDecision.Send send) {
              use(key, send.permit());
            }
          });
    }

    private void use(int key, ActionPermit permit) {
      if (!mayUsePermits) {
        permit.release();
        return;
      }
      boolean isPaused = random.nextInt(3) == 0;
      Duration pause = Duration.ofMillis(isPaused ? random.nextInt(120_000) : 0);
      time.schedule(pause, () -> sendToService(key, permit));
    }

    private void sendToService(int key, ActionPermit permit) {
      if (!permit.trySend()) {
        return;
      }
      runs.merge(key, 1, Integer::sum);
      switch (random.nextInt(3)) {
        case 0 -> permit.recordAnswer(new ActionAnswer(200, "text/plain", Optional.of("answer " + key)));
        case 1 -> permit.recordOutcomeUnknown();
        default -> {
          // The daemon dies before it can record anything.
        }
      }
    }

    private void checkAnswer(int key, ActionAnswer answer) {
      boolean isRight = answer.body().equals(Optional.of("answer " + key));
      if (!isRight || runs.getOrDefault(key, 0) != 1) {
        wrongAnswers.add("key " + key + " got " + answer + " after " + runs.get(key) + " runs");
      }
    }

    /** The operator looks at the service's own count and settles what did not run there. */
    private void settleWhatNeverRan() {
      suspectedDaemons.add("d" + random.nextInt(DAEMONS));
      for (int key = 0; key < KEYS; key++) {
        if (runs.getOrDefault(key, 0) == 0) {
          operator.settle("w", "k" + key, false);
        }
      }
    }

    private ActionIdentity identity(int key) {
      return new ActionIdentity("w", "k" + key, "digest " + key, "quotes");
    }

    private void addDaemon(String id) {
      FakePlatform.Client client = platform.newClient();
      clients.add(client);
      PeerBus bus = network.join(id);
      ClaimRouter router = new ClaimRouter(id, bus, time, newStore(client)::submit);
      gates.add(new ClaimGate(id, router, time, time, time, () -> id + "-" + attempts++));
    }

    private ClaimStore newStore(FakePlatform.Client client) {
      return new ClaimStore(
          client,
          time,
          time,
          time,
          random::nextDouble,
          id -> !suspectedDaemons.contains(id),
          ClaimOptions.DEFAULT);
    }
  }
}
