package org.galenapost.core.order;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.order.EngineState.HeldModel;
import org.galenapost.core.testing.VirtualTime;

/** An engine in virtual time; some orders reach it only long after they were given up. */
final class FakeEngine implements EngineControl {

  private static final Duration LONGEST_ORDER = LeaseSettings.defaults().maxOrderDuration();
  private static final Duration LATENCY = Duration.ofMillis(20);

  private final VirtualTime time;
  private final Random random;
  private final boolean checksFencing;
  private final double lateRate;
  private final List<HeldModel> models = new ArrayList<>();
  private final List<Long> appliedNumbers = new ArrayList<>();
  private long highestNumber;
  private int refused;
  private boolean isCalm;

  FakeEngine(VirtualTime time, Random random, boolean checksFencing, double lateRate) {
    this.time = time;
    this.random = random;
    this.checksFencing = checksFencing;
    this.lateRate = lateRate;
  }

  /** Ends the lateness of new orders. */
  void stopDelayingOrders() {
    isCalm = true;
  }

  @Override
  public CompletionStage<Either<String, EngineState>> state(BackendServer server) {
    return CompletableFuture.completedFuture(Either.right(current()));
  }

  EngineState current() {
    return new EngineState(models, "serve", highestNumber);
  }

  @Override
  public CompletionStage<OrderAnswer> order(BackendServer server, EngineOrder order) {
    CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
    boolean isLate = !isCalm && random.nextDouble() < lateRate;
    Duration delay = isLate ? Duration.ofSeconds(4 + random.nextInt(40)) : LATENCY;
    time.schedule(delay, () -> answer.complete(apply(order)));
    time.schedule(LONGEST_ORDER, () -> answer.complete(new OrderAnswer.Lost("no answer")));
    return answer;
  }

  private OrderAnswer apply(EngineOrder order) {
    if (checksFencing && order.fencingNumber() < highestNumber) {
      refused++;
      return new OrderAnswer.Fenced(highestNumber);
    }
    highestNumber = Math.max(highestNumber, order.fencingNumber());
    appliedNumbers.add(order.fencingNumber());
    String model = order.step().model().orElseThrow();
    String version = order.step().version().orElseThrow();
    models.removeIf(held -> held.matches(model, version));
    if (order.step().action() == OrderAction.LOAD_MODEL) {
      models.add(new HeldModel(model, version, Set.of(), false));
    }
    return new OrderAnswer.Applied();
  }

  List<Long> appliedNumbers() {
    return appliedNumbers;
  }

  int refused() {
    return refused;
  }
}
